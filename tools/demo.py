"""Run the demonstration scenario and print a short table.

Nine instances in four failure domains serve long flows and short requests
while an instance is replaced, an upstream is drained and a configuration change
is published. The exit code is 0 only if requests were done, no flow broke, no
packet was misrouted, no request ran twice and no other fault was counted.
"""

import sys
import tempfile
from pathlib import Path

from tools.plan import load_plan
from tools.processes import ROOT
from tools.scenario import Outcome, run_plan

SCENARIO = ROOT / 'examples' / 'scenarios' / 'demo.ini'
TABLE_ROWS = {
    'flows opened': 'flows_opened',
    'flows broken': 'flows_broken',
    'packets misrouted': 'misrouted',
    'requests done': 'requests_done',
    'requests run twice': 'run_twice',
    'requests refused': 'requests_not_run',
    'outcome unknown': 'requests_unknown',
}
ZERO_FIGURES = (
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
    """Run the demonstration and return the exit code."""
    with tempfile.TemporaryDirectory(prefix='cardamomtiller-') as folder:
        outcome = run_plan(load_plan(SCENARIO), Path(folder))
    for line in outcome.events:
        print(line)
    for title, name in TABLE_ROWS.items():
        print(f'{title:20} {outcome.figures[name]:8.0f}')
    return 0 if has_passed(outcome) else 1


def has_passed(outcome: Outcome) -> bool:
    """Return whether requests were done and all figures in ``ZERO_FIGURES`` are 0."""
    has_completed_requests = outcome.figures['requests_done'] > 0
    return has_completed_requests and not any(
        outcome.figures[name] for name in ZERO_FIGURES
    )


if __name__ == '__main__':
    sys.exit(main())
