"""Set-up of log lines: form and level."""

import json
import sys
from enum import Enum
from typing import TYPE_CHECKING, TextIO

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

# loguru appends the line end and the exception.
HUMAN_FORMAT = '{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {module}: {message}'


class LogFormat(Enum):
    """Form of log lines."""

    HUMAN = 'human'
    JSON = 'json'


def set_up_log(log_format: LogFormat, level: str, instance: str, sink: TextIO) -> None:
    """
    Replace every log handler by one that writes to ``sink``.

    Parameters
    ----------
    form
        Text for people, or one JSON object a line.
    level
        Lowest level that is written: DEBUG, INFO, WARNING or ERROR.
    instance
        Name of this instance, a field of each JSON line.
    sink
        Stream, usually standard error; log lines never go to a file.
    """
    logger.remove()
    logger.configure(extra={'instance': instance})
    line_format = _format_json if log_format is LogFormat.JSON else HUMAN_FORMAT
    # Without diagnose, a traceback cannot show secrets held in local variables.
    logger.add(sink, level=level, format=line_format, diagnose=False, colorize=False)


def set_up_command_log() -> None:
    """Write warnings and errors of a command to standard error."""
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
    # loguru formats the returned text once more with the record.
    record['extra'] = {'line': json.dumps(fields, ensure_ascii=False, default=str)}
    return '{extra[line]}\n'
