"""A backend is added whose id has the same CRC-32 as that of a backend in use."""

import sys
import time
import traceback
import zlib
from pathlib import Path

from world import BOUNDS, ZONES, World, has_trouble

ROUTES = {8443: 'counter-desk', 8444: 'scan-intake'}
IN_USE, ADDED, ADDED_OTHERWISE = 'i-cfef23c3', 'i-512cedf1', 'i-512cedf2'
LONG_FLOWS = 42


def main():
    """Play the case and return the exit status."""
    if zlib.crc32(IN_USE.encode()) != zlib.crc32(ADDED.encode()):
        return 2
    world = World(Path(__file__).parent / 'record.txt')
    try:
        names = [IN_USE, *(f'i-7f3a91{number:02x}' for number in range(16, 22))]
        for index, name in enumerate(names):
            world.backend(name, 'counter-desk', list(ZONES)[index % len(ZONES)])
        for number, zone in enumerate(ZONES):
            world.backend(f'i-5be0c2{number + 16:02x}', 'scan-intake', zone)
        world.publish(7, ROUTES)
        world.start_instances()
        time.sleep(BOUNDS['stability_window_ms'] / 1000)
        zones = list(ZONES)
        flows = [world.open_flow(zones[i % len(zones)], 8443) for i in range(LONG_FLOWS)]
        time.sleep(0.5)
        first = [world.ask(flow) for flow in flows]
        time.sleep(1.5)
        # TROUBLE=0 adds a backend too, with an id of another CRC-32.
        world.backend(ADDED if has_trouble() else ADDED_OTHERWISE, 'scan-intake', 'hcm-quan5')
        world.record.write('backend_added')
        time.sleep(BOUNDS['stability_window_ms'] / 1000 + 1)
        second = [world.ask(flow, 4) for flow in flows]
        time.sleep(5)
        world.require_running()
        misled = 0
        for flow in flows:
            own, opened_s = world.open_at[flow.key]
            others = [name for at_s, name in world.arrivals[flow.key] if name != own.name]
            misled += bool(others)
        served = [sum(r.outcome == 'served' for r in rows) for rows in (first, second)]
        foreign = sum(r.outcome == 'reset by backend' for r in second)
        print(f'requests on {LONG_FLOWS} long flows served before: {served[0]}')
        print(f'served {BOUNDS["stability_window_ms"] / 1000 + 1:.0f} s after: {served[1]}')
        print(f'open flows of which packets reached another backend: {misled}')
        print(f'open flows that got a reset of another backend: {foreign}')
        if served[0] < LONG_FLOWS:
            return 2
        return 1 if foreign else 0
    finally:
        world.close()


if __name__ == '__main__':
    try:
        STATUS = main()
    except Exception:
        traceback.print_exc()
        STATUS = 2
    sys.stdout.flush()
    sys.exit(STATUS)
