"""Build a single executable file that runs with the installed Python interpreter.

The file is a compressed zipapp with pure-Python builds of the libraries, since
extension modules cannot be loaded from a zip file without unpacking it to disk.
"""

import shutil
import subprocess
import sys
import zipapp
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = ROOT / 'build'
STAGING_FOLDER = BUILD / 'stage'
TARGET = BUILD / 'cardamomtiller'
RUNTIME_LOCK = ROOT / 'requirements' / 'runtime.lock'
PURE_PYTHON_OPTIONS = (
    '--platform=any',
    '--implementation=py',
    '--abi=none',
    '--only-binary=:all:',
)
EXCLUDED_PATTERNS = ('*.so', '*.pyi', '__pycache__', '*.c', 'tests', 'bin')


def main() -> None:
    """Install package and libraries into a staging folder and pack it."""
    shutil.rmtree(STAGING_FOLDER, ignore_errors=True)
    STAGING_FOLDER.mkdir(parents=True)
    install((*PURE_PYTHON_OPTIONS, '--requirement', str(RUNTIME_LOCK)))
    install(('--no-build-isolation', str(ROOT)))
    for pattern in EXCLUDED_PATTERNS:
        for path in sorted(STAGING_FOLDER.rglob(pattern)):
            remove(path)
    (STAGING_FOLDER / '__main__.py').write_text(
        "from cardamomtiller.cli import app\n\napp(prog_name='cardamomtiller')\n",
    )
    zipapp.create_archive(
        STAGING_FOLDER,
        TARGET,
        interpreter='/usr/bin/env python3',
        compressed=True,
    )
    size_mb = TARGET.stat().st_size / 1_000_000
    print(f'{TARGET.relative_to(ROOT)}: {size_mb:.1f} MB')


def install(arguments: Iterable[str]) -> None:
    """Install with pip into the staging folder, without dependencies."""
    command = [
        sys.executable,
        '-m',
        'pip',
        'install',
        '--quiet',
        '--disable-pip-version-check',
        '--no-deps',
        '--target',
        str(STAGING_FOLDER),
        *arguments,
    ]
    subprocess.run(command, check=True)


def remove(path: Path) -> None:
    """Remove a file or a folder if it exists."""
    if path.is_dir():
        shutil.rmtree(path)
    elif path.exists():
        path.unlink()


if __name__ == '__main__':
    main()
