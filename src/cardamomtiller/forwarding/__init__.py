"""Packet forwarding for flows whose ends are the clients and the upstreams.

This package is on the start-up path of a process, whose import time is downtime
after a restart. Its modules import only what forwarding needs; in particular no
``dataclasses``, ``logging`` or ``asyncio``. ``tests/features/forwarding_start.feature``
names the modules that must stay out.
"""
