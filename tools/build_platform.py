"""Copy the program that the platform runs to ``target/app`` and compile it."""

import compileall
import py_compile
import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / 'target' / 'app'
IGNORED_FILES = shutil.ignore_patterns('__pycache__')


def main() -> int:
    """
    Copy the sources and compile them.

    Unchecked hash-based bytecode files avoid compilation and source checks at startup.
    """
    shutil.rmtree(TARGET, ignore_errors=True)
    shutil.copytree(ROOT / 'platform', TARGET, ignore=IGNORED_FILES)
    shutil.copytree(
        ROOT / 'src' / 'cardamomtiller',
        TARGET / 'cardamomtiller',
        ignore=IGNORED_FILES,
    )
    is_compiled = compileall.compile_dir(
        TARGET,
        quiet=1,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    return 0 if is_compiled else 1


if __name__ == '__main__':
    sys.exit(main())
