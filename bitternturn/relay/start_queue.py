"""Turns in which the sends that peers have requested are started."""

import asyncio
from typing import TYPE_CHECKING

from bitternturn.policy.send_order import TurnShare

if TYPE_CHECKING:
    from bitternturn.relay.incoming_batch import IncomingBatch


class StartQueue:
    """Batches of which sends wait to be started.

    Starting all sends takes many milliseconds of processor time. In each turn, some
    sends of each of the most urgent batches are started; less urgent batches wait,
    but get a share of the turns.
    """

    def __init__(self) -> None:
        """Initialise without batches."""
        self.batches: list[IncomingBatch] = []
        self.share = TurnShare()

    def add(self, batch: 'IncomingBatch') -> None:
        """Add a batch, whose sends start in later turns."""
        if not self.batches:
            asyncio.get_running_loop().call_soon(self._run_turn)
        self.batches.append(batch)

    def _run_turn(self) -> None:
        """Start some sends of the batches whose turn it is."""
        waiting = [batch for batch in self.batches if batch.waiting]
        waiting.sort(key=lambda batch: (batch.priority, batch.deadline))
        try:
            for batch in self._choose(waiting):
                batch.start_some()
        finally:
            self.batches = [batch for batch in self.batches if batch.waiting]
            if self.batches:
                asyncio.get_running_loop().call_soon(self._run_turn)

    def _choose(self, waiting: 'list[IncomingBatch]') -> 'list[IncomingBatch]':
        """Return the batches whose turn it is, of those sorted by priority."""
        if not waiting:
            return []
        urgent = waiting[0].priority
        others_wait = waiting[-1].priority > urgent
        less_urgent = others_wait and self.share.due
        self.share.record(less_urgent=less_urgent, others_wait=others_wait)
        return [
            batch
            for batch in waiting
            if (batch.priority > urgent) == less_urgent
        ]
