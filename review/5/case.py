"""The store turns three machines of a zone away while a route is added."""

import sys
import time
import traceback
from pathlib import Path

from world import BOUNDS, ZONES, World, has_trouble

ZONE = 'hcm-binhthanh'
# 3 of 9 machines, a share of 0.33.
TURNED_AWAY = 3
PORT, FIRST_NEW_PORT, NEW_PORT, SERVICE = 8443, 9001, 9002, 'counter-desk'
APPLY_S = BOUNDS['config_apply_ms'] / 1000
STABILITY_S = BOUNDS['stability_window_ms'] / 1000
MEASURE_S = 3.0
# All machines have the first route by then.
BETWEEN_CHANGES_S = 0.08


def main():
    """Play the case and return the exit status."""
    world = World(Path(__file__).parent / 'record.txt')
    try:
        for index, zone in enumerate([*ZONES, *ZONES, 'hcm-quan5']):
            world.backend(f'i-7f3a91{index + 16:02x}', SERVICE, zone)
        routes = {PORT: SERVICE}
        world.publish(7, routes)
        world.start_instances()
        time.sleep(3 * STABILITY_S)
        hosts = [host for host in sorted(world.instances) if world.instances[host] == ZONE]
        away, judged = hosts[:TURNED_AWAY], hosts[TURNED_AWAY:]
        routes[FIRST_NEW_PORT] = SERVICE
        world.publish(9, routes)
        time.sleep(BETWEEN_CHANGES_S)
        if has_trouble():
            world.store.turn_away([world.store_addresses[host] for host in away])
            world.record.write('store_turns_away', instances=away)
        routes[NEW_PORT] = SERVICE
        acknowledged_s = world.publish(12, routes)
        time.sleep(APPLY_S)
        requests = []
        while time.monotonic() < acknowledged_s + APPLY_S + MEASURE_S:
            for node in judged:
                requests.append((node, world.send_request(ZONE, NEW_PORT, node=node)))
            time.sleep(0.02)
        time.sleep(1.5)
        world.require_running()
        refused = [
            (node, request.sent_s - acknowledged_s)
            for node, request in requests
            if request.outcome == 'reset by system'
            and request.sent_s > acknowledged_s + APPLY_S
        ]
        print(f'requests on the new route, sent {APPLY_S:.0f} s after it was acknowledged '
              f'or later, through machines in touch: {len(requests)}')
        print(f'refused though the route is there: {len(refused)}')
        if refused:
            print(f'the last of them sent {max(late for _, late in refused):.3f} s after')
        served = sum(request.outcome == 'served' for _, request in requests)
        if not served:
            return 2
        return 1 if refused else 0
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
