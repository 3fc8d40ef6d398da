"""Parse INI sections into messages; field options state ranges and formats."""

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

_HEX_KEY_PATTERN = re.compile('(?:[0-9a-fA-F]{2}){16,64}')
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
        Keys and values by section name; empty if the text cannot be parsed.
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
    Set the fields of a message from the keys of one section.

    Parameters
    ----------
    values
        Keys and values of the section.
    message
        Empty message whose fields have the option ``limits``.
    place
        Source and section for the findings.
    findings
        Receives unknown, missing, malformed and out-of-range keys.

    Returns
    -------
    Message
        The same message. Keys that are absent or invalid have their default, or
        are unset if they have none.
    """
    fields = cast(
        Mapping[str, FieldDescriptor],
        message.DESCRIPTOR.fields_by_name,
    )
    for key in sorted(set(values) - set(fields)):
        findings.add(_key_place(place, key), 'unknown key')
    for field_name, descriptor in fields.items():
        _read_field(values.get(field_name, ''), message, descriptor, place, findings)
    return message


def split_list(text: str) -> tuple[str, ...]:
    """Split at commas; strip each part and skip empty ones."""
    parts = (part.strip() for part in text.split(','))
    return tuple(part for part in parts if part)


def parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    """
    Parse ``HOST:PORT`` entries separated by commas.

    Raises
    ------
    ValueError
        If an entry is malformed.
    """
    return tuple(parse_endpoint(part) for part in split_list(text))


def parse_named_endpoints(text: str) -> tuple[tuple[str, Endpoint], ...]:
    """
    Parse ``NAME=HOST:PORT`` entries separated by commas.

    Raises
    ------
    ValueError
        If an entry is malformed.
    """
    return tuple(_parse_named_endpoint(part) for part in split_list(text))


def _parse_named_endpoint(part: str) -> tuple[str, Endpoint]:
    name, separator, address = part.partition('=')
    if not separator or not name.strip():
        raise ValueError(f'{part!r} is not NAME=HOST:PORT')
    return (name.strip(), parse_endpoint(address))


def _key_place(place: Place, key: str) -> Place:
    return Place(place.source, place.section, key)


def _read_field(
    text: str,
    message: Message,
    descriptor: FieldDescriptor,
    place: Place,
    findings: Findings,
) -> None:
    field_limits = descriptor.GetOptions().Extensions[limits]
    key_place = _key_place(place, descriptor.name)
    text = text.strip() or field_limits.default_value
    if not text:
        if field_limits.is_required:
            findings.add(key_place, f'missing; {field_limits.help}')
        return
    try:
        setattr(message, descriptor.name, _convert(text, descriptor, field_limits))
    except ValueError as error:
        findings.add(key_place, str(error))
        if field_limits.default_value:
            fallback = _convert(field_limits.default_value, descriptor, field_limits)
            setattr(message, descriptor.name, fallback)


def _convert(
    text: str,
    descriptor: FieldDescriptor,
    field_limits: Limits,
) -> str | float | int | bool:
    if descriptor.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        return _convert_text(text, field_limits)
    if descriptor.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
        return _convert_bool(text)
    return _convert_number(text, descriptor, field_limits)


def _convert_bool(text: str) -> bool:
    value = _BOOLEANS.get(text.lower())
    if value is None:
        raise ValueError(f'{text!r} is neither true nor false')
    return value


def _convert_number(
    text: str,
    descriptor: FieldDescriptor,
    field_limits: Limits,
) -> float | int:
    is_float = descriptor.cpp_type == FieldDescriptor.CPPTYPE_DOUBLE
    try:
        value: float | int = float(text) if is_float else int(text)
    except ValueError as error:
        expected = 'a number' if is_float else 'a whole number'
        raise ValueError(f'{text!r} is not {expected}') from error
    if (
        not math.isfinite(value)
        or not field_limits.minimum <= value <= field_limits.maximum
    ):
        low, high = f'{field_limits.minimum:g}', f'{field_limits.maximum:g}'
        raise ValueError(f'{text} is not between {low} and {high}')
    return value


def _convert_text(text: str, field_limits: Limits) -> str:
    if field_limits.choices and text not in field_limits.choices:
        choices = ', '.join(field_limits.choices)
        raise ValueError(f'{text!r} is not one of {choices}')
    check_format = _FORMATS.get(field_limits.format)
    if check_format:
        check_format(text)
    return text


def _check_hex_key(text: str) -> None:
    if not _HEX_KEY_PATTERN.fullmatch(text):
        raise ValueError('value is not 32 to 128 hex digits')


def _check_http_url(text: str) -> None:
    if not text.startswith(('http://', 'https://')):
        raise ValueError(f'{text!r} is not an http or https URL')


_FORMATS: Mapping[str, Callable[[str], object]] = {
    'host_port': parse_endpoint,
    'host_port_list': parse_endpoints,
    'named_host_port_list': parse_named_endpoints,
    'hex_key': _check_hex_key,
    'http_url': _check_http_url,
}
