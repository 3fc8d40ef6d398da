"""Run the simulation with random seeds for a given time.

Usage: ``python -m tools.fuzz --seed N --minutes M [--events a,b]``. Each failed run
is printed with its faults, its events and the command that repeats it. The exit
code is 1 if any run failed. ``--once`` runs only the given seed.
"""

import argparse
import random
import sys
import time
from collections.abc import Iterator

from loguru import logger

from tests.simulation import EVENTS, Report, simulate

RUN_DURATION_S = 12.0
CALLER_COUNT = 6
SECONDS_PER_MINUTE = 60
SEED_LIMIT = 2**32


def main() -> int:
    """Run seeds until the time is over; return 1 if any failed, else 0."""
    options = _parse_arguments()
    if not options.verbose:
        logger.disable('cardamomtiller')
    end_s = time.monotonic() + options.minutes * SECONDS_PER_MINUTE
    run_count = failed_count = 0
    for seed in _iterate_seeds(options.seed):
        events = options.events
        if events is None:
            events = _draw_events(seed)
        report = simulate(seed, options.seconds, options.callers, events)
        run_count += 1
        if report.faults():
            failed_count += 1
            command = repeat_command(seed, options.seconds, options.callers, events)
            print(format_failure(report, command), flush=True)
        if options.once or time.monotonic() >= end_s:
            break
    print(f'{run_count} seeds, {failed_count} failed')
    return 1 if failed_count else 0


def repeat_command(
    seed: int, seconds: float, callers: int, events: tuple[str, ...]
) -> str:
    """Return the command line that repeats a run."""
    event_list = ','.join(events) or 'none'
    return (
        f'python -m tools.fuzz --once --seed {seed} --seconds {seconds:g} '
        f'--callers {callers} --events {event_list}'
    )


def format_failure(report: Report, command: str) -> str:
    """Return the command, faults and events of a failed run as lines of text."""
    lines = [f'failed: {command}']
    lines += [f'  {fault}' for fault in report.faults()]
    lines += [f'  event {event}' for event in report.events]
    return '\n'.join(lines)


def _iterate_seeds(first_seed: int) -> Iterator[int]:
    yield first_seed
    generator = random.Random(first_seed)
    while True:
        yield generator.randrange(SEED_LIMIT)


def _draw_events(seed: int) -> tuple[str, ...]:
    """Return a random set of event kinds for a seed, in the order of ``EVENTS``."""
    generator = random.Random(f'events {seed}')
    drawn = generator.sample(EVENTS, generator.randint(1, len(EVENTS)))
    return tuple(name for name in EVENTS if name in drawn)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    parser.add_argument(
        '--seconds',
        type=float,
        default=RUN_DURATION_S,
        help='simulated seconds per run',
    )
    parser.add_argument('--callers', type=int, default=CALLER_COUNT)
    parser.add_argument(
        '--events',
        type=_parse_event_names,
        help='comma-separated event kinds, or none; random by default',
    )
    parser.add_argument(
        '--once', action='store_true', help='run only the seed of --seed'
    )
    parser.add_argument(
        '--verbose', action='store_true', help='print the log of the instances'
    )
    return parser.parse_args()


def _parse_event_names(text: str) -> tuple[str, ...]:
    names = () if text == 'none' else tuple(text.split(','))
    unknown = set(names) - set(EVENTS)
    if unknown:
        raise argparse.ArgumentTypeError(f'unknown events {sorted(unknown)}')
    return names


if __name__ == '__main__':
    sys.exit(main())
