"""Policies for queries: pure decisions on state and the current time.

Two paths of a query have policies of their own. The gateway and the relay use
`answer_timing`, `cold_send_limit`, `delegate_selection`, `further_send_budget`, `pace`,
`subsets`, `target_selection` and `unresponsive_targets`; the callers' API and
the owners of targets use the other modules. Both use `const`.
"""
