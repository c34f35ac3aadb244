"""Distinct types for identifiers."""

from typing import NewType

InstanceId = NewType('InstanceId', str)
Incarnation = NewType('Incarnation', int)
FailureDomain = NewType('FailureDomain', str)
TargetId = NewType('TargetId', str)
ShardId = NewType('ShardId', str)
IndexName = NewType('IndexName', str)
ProfileName = NewType('ProfileName', str)
RequestId = NewType('RequestId', str)
# Digest of what all attempts of a request have in common.
RequestKey = NewType('RequestKey', str)
Snapshot = NewType('Snapshot', int)
Version = NewType('Version', int)
ServiceName = NewType('ServiceName', str)
RouteName = NewType('RouteName', str)
