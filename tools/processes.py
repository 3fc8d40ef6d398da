"""Child processes of a deployment, and free ports for them."""

import asyncio
import ctypes
import os
import random
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PR_SET_PDEATHSIG = 1
# Index of utime in /proc/PID/stat, counted after the name of the process; stime is
# the next value.
UTIME_INDEX = 11
TERMINATE_TIMEOUT_S = 3
# Below the ephemeral ports, which the kernel assigns to outgoing connections.
FIRST_PORT = 20_000
PORT_COUNT = 12_000
LOOPBACK = '127.0.0.1'

_libc = ctypes.CDLL(None)


class Ports:
    """Allocates ports of the loopback interface that are not in use."""

    def __init__(self) -> None:
        """Start at a random port, so that concurrent runs use different ports."""
        self._next_offset = random.SystemRandom().randrange(PORT_COUNT)

    def allocate(self) -> int:
        """
        Return a port that is free for TCP and UDP.

        Raises
        ------
        LookupError
            If every port of the range is in use.
        """
        for _ in range(PORT_COUNT):
            port = FIRST_PORT + self._next_offset
            self._next_offset = (self._next_offset + 1) % PORT_COUNT
            if _is_free(port):
                return port
        raise LookupError('no free port')


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            if socket_type == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


def _set_parent_death_signal() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True)
class Processes:
    """Running child processes by name, each with a log file in ``folder``."""

    folder: Path
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    exit_codes: dict[str, int] = field(default_factory=dict)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m MODULE``; its output is appended to NAME.log."""
        environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT / "src"}:{ROOT}',
            'PYTHONUNBUFFERED': '1',
        }
        with (self.folder / f'{name}.log').open('ab') as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_set_parent_death_signal,
            )

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        process = self.running.pop(name)
        process.kill()
        self.exit_codes[name] = process.wait()

    async def wait(self, name: str, timeout_s: float) -> int | None:
        """Wait for the exit of a process; return its exit code, None on timeout."""
        process = self.running[name]
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while process.poll() is None:
            if loop.time() > deadline_s:
                return None
            await asyncio.sleep(0.02)
        del self.running[name]
        self.exit_codes[name] = process.returncode
        return process.returncode

    def read_log(self, name: str) -> str:
        """Return the content of the log file of a process."""
        path = self.folder / f'{name}.log'
        return path.read_text(errors='replace') if path.exists() else ''

    def read_cpu_times_s(self) -> dict[str, float]:
        """Return the CPU time of each running process, user and system."""
        cpu_times_s: dict[str, float] = {}
        for name, process in self.running.items():
            path = Path(f'/proc/{process.pid}/stat')
            if path.exists():
                stat_fields = path.read_text().rpartition(')')[2].split()
                ticks = int(stat_fields[UTIME_INDEX]) + int(
                    stat_fields[UTIME_INDEX + 1]
                )
                cpu_times_s[name] = ticks / os.sysconf('SC_CLK_TCK')
        return cpu_times_s

    def terminate_all(self) -> None:
        """Terminate all running processes; kill those that do not exit in time."""
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for name, process in tuple(self.running.items()):
            try:
                process.wait(TERMINATE_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            self.exit_codes.setdefault(name, process.returncode)
        self.running.clear()
