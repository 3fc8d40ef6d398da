"""Read INI sections into messages whose fields carry ranges and formats."""

import configparser
import math
import re
from collections.abc import Callable, Mapping
from typing import TypeVar, cast

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from cardamomtiller.finding import Findings, Place
from cardamomtiller.identity import Endpoint, parse_endpoint
from cardamomtiller.settings_pb2 import Limits, limits

MessageT = TypeVar('MessageT', bound=Message)

_KEY_PATTERN = re.compile('(?:[0-9a-fA-F]{2}){16,64}')
_BOOLEANS = {
    'true': True,
    'yes': True,
    'on': True,
    '1': True,
    'false': False,
    'no': False,
    'off': False,
    '0': False,
}


def parse_ini(
    text: str,
    source: str,
    findings: Findings,
) -> dict[str, dict[str, str]]:
    """
    Split INI text into sections of keys and values.

    Parameters
    ----------
    text
        INI text.
    source
        File or document name for the findings.
    findings
        Receives syntax errors, with their line number in the message.

    Returns
    -------
    dict
        Sections by name; empty when the text cannot be parsed.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
        inline_comment_prefixes=('#', ';'),
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        message = ' '.join(str(error).split())
        findings.add(Place(source), message)
        return {}
    return {name: dict(parser[name]) for name in parser.sections()}


def read_section(
    values: Mapping[str, str],
    message: MessageT,
    place: Place,
    findings: Findings,
) -> MessageT:
    """
    Fill a message from the keys of one section.

    Parameters
    ----------
    values
        Keys and values of the section.
    message
        Empty message; its fields carry the option ``limits``.
    place
        Source and section for the findings.
    findings
        Receives unknown, missing, malformed and out-of-range keys.

    Returns
    -------
    Message
        The same message, with defaults for keys that are absent or wrong.
    """
    fields = cast(
        Mapping[str, FieldDescriptor],
        message.DESCRIPTOR.fields_by_name,
    )
    for key in sorted(set(values) - set(fields)):
        findings.add(_at(place, key), 'unknown key')
    for name, descriptor in fields.items():
        _read_field(values.get(name, ''), message, descriptor, place, findings)
    return message


def split_list(text: str) -> tuple[str, ...]:
    """Split at commas and leave out empty parts."""
    parts = (part.strip() for part in text.split(','))
    return tuple(part for part in parts if part)


def parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    """
    Read ``HOST:PORT`` parts separated by commas.

    Raises
    ------
    ValueError
        If one part is malformed.
    """
    return tuple(parse_endpoint(part) for part in split_list(text))


def parse_named_endpoints(text: str) -> tuple[tuple[str, Endpoint], ...]:
    """
    Read ``NAME=HOST:PORT`` parts separated by commas.

    Raises
    ------
    ValueError
        If one part is malformed.
    """
    return tuple(_parse_named(part) for part in split_list(text))


def _parse_named(part: str) -> tuple[str, Endpoint]:
    name, separator, address = part.partition('=')
    if not separator or not name.strip():
        raise ValueError(f'{part!r} is not NAME=HOST:PORT')
    return (name.strip(), parse_endpoint(address))


def _at(place: Place, key: str) -> Place:
    return Place(place.source, place.section, key)


def _read_field(
    text: str,
    message: Message,
    descriptor: FieldDescriptor,
    place: Place,
    findings: Findings,
) -> None:
    rule = descriptor.GetOptions().Extensions[limits]
    where = _at(place, descriptor.name)
    text = text.strip() or rule.default_value
    if not text:
        if rule.is_required:
            findings.add(where, f'missing; {rule.help}')
        return
    try:
        setattr(message, descriptor.name, _convert(text, descriptor, rule))
    except ValueError as error:
        findings.add(where, str(error))
        if rule.default_value:
            fallback = _convert(rule.default_value, descriptor, rule)
            setattr(message, descriptor.name, fallback)


def _convert(
    text: str,
    descriptor: FieldDescriptor,
    rule: Limits,
) -> str | float | int | bool:
    if descriptor.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        return _convert_text(text, rule)
    if descriptor.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
        return _convert_bool(text)
    return _convert_number(text, descriptor, rule)


def _convert_bool(text: str) -> bool:
    value = _BOOLEANS.get(text.lower())
    if value is None:
        raise ValueError(f'{text!r} is neither true nor false')
    return value


def _convert_number(
    text: str,
    descriptor: FieldDescriptor,
    rule: Limits,
) -> float | int:
    is_real = descriptor.cpp_type == FieldDescriptor.CPPTYPE_DOUBLE
    try:
        value: float | int = float(text) if is_real else int(text)
    except ValueError as error:
        kind = 'a number' if is_real else 'a whole number'
        raise ValueError(f'{text!r} is not {kind}') from error
    if not math.isfinite(value) or not rule.minimum <= value <= rule.maximum:
        low, high = f'{rule.minimum:g}', f'{rule.maximum:g}'
        raise ValueError(f'{text} is not between {low} and {high}')
    return value


def _convert_text(text: str, rule: Limits) -> str:
    if rule.choices and text not in rule.choices:
        names = ', '.join(rule.choices)
        raise ValueError(f'{text!r} is none of {names}')
    check = _FORMATS.get(rule.format)
    if check:
        check(text)
    return text


def _check_key(text: str) -> None:
    if not _KEY_PATTERN.fullmatch(text):
        raise ValueError('is not 32 to 128 hex digits')


def _check_url(text: str) -> None:
    if not text.startswith(('http://', 'https://')):
        raise ValueError(f'{text!r} is not an http or https URL')


_FORMATS: Mapping[str, Callable[[str], object]] = {
    'host_port': parse_endpoint,
    'host_port_list': parse_endpoints,
    'named_host_port_list': parse_named_endpoints,
    'hex_key': _check_key,
    'http_url': _check_url,
}
