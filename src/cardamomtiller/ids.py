"""Identifier types of all modules; imports nothing but ``typing``."""

from typing import NewType

ServiceName = NewType('ServiceName', str)
CustomerId = NewType('CustomerId', str)
PlanName = NewType('PlanName', str)
UpstreamId = NewType('UpstreamId', str)
InstanceId = NewType('InstanceId', str)
DomainName = NewType('DomainName', str)
RegionName = NewType('RegionName', str)
DocumentName = NewType('DocumentName', str)
Version = NewType('Version', int)
FlowId = NewType('FlowId', bytes)
RequestId = NewType('RequestId', int)
Incarnation = NewType('Incarnation', int)

MS_PER_S = 1000
