"""Packet forwarding between clients and upstreams.

Each packet carries the token of the upstream that serves its flow, so an instance
that has just started can forward the packets of existing flows.

Import time of this package is downtime after a restart, so its modules import only
what forwarding needs; in particular no ``dataclasses``, ``logging`` or ``asyncio``.
``tests/features/forwarding_platform.feature`` checks which slow modules a start must
not load.
"""
