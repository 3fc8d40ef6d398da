"""Run the demonstration and print a short table.

Nine instances in four failure domains serve long flows and short requests
while an instance is replaced, an upstream drained and a change published. The
exit code is 0 only if no flow broke, no packet was misrouted and no request
ran twice.
"""

import sys
import tempfile
from pathlib import Path

from tools.plan import load_plan
from tools.processes import ROOT
from tools.scenario import Outcome, run_plan

SCENARIO = ROOT / 'examples' / 'scenarios' / 'demo.ini'
ROWS = {
    'flows opened': 'flows_opened',
    'flows broken': 'flows_broken',
    'packets misrouted': 'misrouted',
    'requests done': 'requests_done',
    'requests run twice': 'run_twice',
    'requests refused': 'requests_not_run',
    'outcome unknown': 'requests_unknown',
}
ZERO = (
    'flows_broken',
    'misrouted',
    'run_twice',
    'stale_reads',
    'wrong_answers',
    'not_in_force',
    'unclean_stops',
    'event_errors',
    'caller_errors',
)


def main() -> int:
    """Run the demonstration once."""
    with tempfile.TemporaryDirectory(prefix='cardamomtiller-') as folder:
        outcome = run_plan(load_plan(SCENARIO), Path(folder))
    for line in outcome.events:
        print(line)
    for title, name in ROWS.items():
        print(f'{title:20} {outcome.figures[name]:8.0f}')
    return 0 if is_sound(outcome) else 1


def is_sound(outcome: Outcome) -> bool:
    """Return whether the run shows what it is to show."""
    has_run = outcome.figures['requests_done'] > 0
    return has_run and not any(outcome.figures[name] for name in ZERO)


if __name__ == '__main__':
    sys.exit(main())
