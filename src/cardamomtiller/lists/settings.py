"""Parsing and validation of the settings file of an instance."""

from pathlib import Path

from returns.result import Failure, Result, Success

from cardamomtiller.finding import Finding, Findings, Place
from cardamomtiller.lists import ini
from cardamomtiller.settings_pb2 import Settings


def parse_settings(text: str, source: str) -> Result[Settings, tuple[Finding, ...]]:
    """
    Parse settings from INI text.

    Parameters
    ----------
    text
        INI text; each section is a field of the message ``Settings``.
    source
        File name that the findings report.

    Returns
    -------
    Result
        The settings, or all findings.
    """
    findings = Findings()
    sections = ini.parse_ini(text, source, findings)
    settings = Settings()
    section_fields = settings.DESCRIPTOR.fields_by_name
    for unknown_name in sorted(set(sections) - set(section_fields)):
        findings.add(Place(source, unknown_name), 'unknown section')
    for name in section_fields:
        section = getattr(settings, name)
        section.SetInParent()
        ini.read_section(sections.get(name, {}), section, Place(source, name), findings)
    if len(findings):
        return Failure(findings.as_tuple())
    return Success(settings)


def load_settings(path: Path) -> Result[Settings, tuple[Finding, ...]]:
    """
    Read settings from a file.

    Returns
    -------
    Result
        The settings, or all findings; a file that cannot be read is a finding.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(Place(str(path)), f'cannot be read: {error}'),))
    return parse_settings(text, str(path))
