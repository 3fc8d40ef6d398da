"""List the counters, gauges and timers that the code uses.

With ``--check``, print the names that docs/OPERATIONS.md lacks; the exit code is 1
if there are any. In a name from a formatted string, ``*`` stands for each value.
"""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / 'src' / 'cardamomtiller'
PAGE = ROOT / 'docs' / 'OPERATIONS.md'
COUNTER_CALLS = frozenset(
    ('add', 'set_gauge', 'record_timing_ms', 'count', '_count', 'Failure', 'Dropped'),
)


def main() -> int:
    """Print all names by module, or with ``--check`` the undocumented ones."""
    pairs = sorted(set(find_names()))
    if '--check' not in sys.argv[1:]:
        for module, name in pairs:
            print(f'{module}: {name}')
        return 0
    page = PAGE.read_text()
    undocumented = [(module, name) for module, name in pairs if f'`{name}`' not in page]
    for module, name in undocumented:
        print(f'{PAGE.relative_to(ROOT)} does not name {name} of {module}')
    return 1 if undocumented else 0


def find_names() -> Iterator[tuple[str, str]]:
    """Iterate over pairs of module name and counter name."""
    for path in sorted(SOURCES.rglob('*.py')):
        if path.stem.endswith(('_pb2', '_grpc')):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and node.args
                and _called_name(node) in COUNTER_CALLS
            ):
                name = _literal_text(node.args[0])
                if name and '.' in name and ' ' not in name:
                    yield path.stem, name


def _called_name(call: ast.Call) -> str:
    match call.func:
        case ast.Attribute(attr=name) | ast.Name(id=name):
            return name
    return ''


def _literal_text(node: ast.expr) -> str:
    match node:
        case ast.Constant(value=str(text)):
            return text
        case ast.JoinedStr(values=values):
            fragments = (
                value.value if isinstance(value, ast.Constant) else '*'
                for value in values
            )
            return ''.join(fragments)
    return ''


if __name__ == '__main__':
    sys.exit(main())
