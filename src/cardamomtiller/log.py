"""Set-up of logging: format and level of log lines."""

import json
import sys
from enum import Enum
from typing import TYPE_CHECKING, TextIO

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

# loguru appends a line break and the traceback.
HUMAN_FORMAT = '{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {module}: {message}'


class LogFormat(Enum):
    """Format of log lines."""

    HUMAN = 'human'
    JSON = 'json'


def set_up_log(log_format: LogFormat, level: str, instance: str, sink: TextIO) -> None:
    """
    Replace all log handlers by one that writes to ``sink``.

    Parameters
    ----------
    log_format
        Plain text, or one JSON object per line.
    level
        Minimum level that is written: DEBUG, INFO, WARNING or ERROR.
    instance
        Name of this instance, a field of every JSON line.
    sink
        Output stream, usually standard error; no log files are written.
    """
    logger.remove()
    logger.configure(extra={'instance': instance})
    line_format = _format_json if log_format is LogFormat.JSON else HUMAN_FORMAT
    # ``diagnose`` would print local variables, and so secrets, in tracebacks.
    logger.add(sink, level=level, format=line_format, diagnose=False, colorize=False)


def set_up_command_log() -> None:
    """Log warnings and errors of a command to standard error as text."""
    set_up_log(LogFormat.HUMAN, 'WARNING', '', sys.stderr)


def _format_json(record: 'Record') -> str:
    fields = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'module': record['module'],
        'message': record['message'],
        **record['extra'],
    }
    error = record['exception']
    if error is not None:
        fields['error'] = repr(error.value)
    # loguru uses the returned text as a format string, so the braces of the JSON
    # go in as the value of a field.
    record['extra'] = {'line': json.dumps(fields, ensure_ascii=False, default=str)}
    return '{extra[line]}\n'
