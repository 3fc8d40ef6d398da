"""Run the behave features and print a summary line ``N passed, N failed``.

Each feature file runs in a separate process. Files tagged ``@live`` start real
processes and measure time, so fewer of them run in parallel. A scenario that is
listed in ``KNOWN-RED.txt`` is printed when it fails but not counted as failed.
"""

import json
import os
import re
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FEATURES = ROOT / 'tests' / 'features'
KNOWN_FAILURES_PATH = ROOT / 'KNOWN-RED.txt'
FEATURE_TIMEOUT_S = 600
PARALLEL_FEATURES = 4
PARALLEL_LIVE_FEATURES = 2


@dataclass(frozen=True)
class ScenarioResult:
    """Name of a scenario and whether it passed."""

    name: str
    is_passed: bool


@dataclass(frozen=True)
class FeatureResult:
    """Scenario results and output of the run of one feature file."""

    path: Path
    scenarios: tuple[ScenarioResult, ...]
    output: str


def main() -> int:
    """Run the feature files given as arguments, or all; return the exit code."""
    paths = [Path(name).resolve() for name in sys.argv[1:]]
    paths = paths or sorted(FEATURES.rglob('*.feature'))
    results = list(run_all(paths))
    known_failures = read_known_failures()
    passed = failed = 0
    for result in results:
        for scenario in result.scenarios:
            name = f'{result.path.relative_to(ROOT)}: {scenario.name}'
            if scenario.is_passed:
                passed += 1
            elif name in known_failures:
                print(f'known red: {name}')
            else:
                failed += 1
                print(f'failed: {name}')
        if not all(scenario.is_passed for scenario in result.scenarios):
            print(result.output)
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


def run_all(paths: list[Path]) -> Iterator[FeatureResult]:
    """Yield the result of each feature file; ``@live`` files run last."""
    live_paths = [path for path in paths if '@live' in path.read_text()]
    other_paths = [path for path in paths if path not in live_paths]
    for group_paths, workers in (
        (other_paths, PARALLEL_FEATURES),
        (live_paths, PARALLEL_LIVE_FEATURES),
    ):
        with ThreadPoolExecutor(workers) as pool:
            yield from pool.map(run_feature, group_paths)


def run_feature(path: Path) -> FeatureResult:
    """Run a feature file in a separate process and read its JSON report."""
    report_path = ROOT / 'build' / 'behave' / f'{path.stem}.json'
    report_path.parent.mkdir(parents=True, exist_ok=True)
    report_path.unlink(missing_ok=True)
    command = [
        sys.executable,
        '-m',
        'behave',
        '--no-color',
        '--no-capture',
        '--format=json',
        f'--outfile={report_path}',
        '--format=plain',
        str(path),
    ]
    environment = {**os.environ, 'PYTHONPATH': f'{ROOT / "src"}:{ROOT}'}
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=FEATURE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired as error:
        output = f'timed out after {FEATURE_TIMEOUT_S} s\n{error.output}'
        failure = ScenarioResult('(whole file timed out)', is_passed=False)
        return FeatureResult(path, (failure,), output)
    scenarios = tuple(read_report(report_path))
    if not scenarios or (
        completed.returncode and all(scenario.is_passed for scenario in scenarios)
    ):
        scenarios += (ScenarioResult('(whole file)', is_passed=False),)
    print(f'{path.relative_to(ROOT)}: {len(scenarios)} scenarios', flush=True)
    return FeatureResult(path, scenarios, completed.stdout)


def read_report(report_path: Path) -> Iterator[ScenarioResult]:
    """Yield the scenarios of a JSON report of behave."""
    if not report_path.exists() or not report_path.stat().st_size:
        return
    for feature in json.loads(report_path.read_text()):
        for element in feature.get('elements', ()):
            if element['type'] == 'scenario':
                is_passed = element['status'] == 'passed'
                yield ScenarioResult(element['name'], is_passed)


def read_known_failures() -> frozenset[str]:
    """Return ``feature file: scenario`` of each entry in ``KNOWN-RED.txt``."""
    if not KNOWN_FAILURES_PATH.exists():
        return frozenset()
    pattern = re.compile('^test: (.+)$', re.MULTILINE)
    return frozenset(pattern.findall(KNOWN_FAILURES_PATH.read_text()))


if __name__ == '__main__':
    sys.exit(main())
