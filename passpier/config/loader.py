"""Loads a schema file and collects all findings, each with its line and path."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import pydantic
import yaml

from passpier import exceptions
from passpier.config import schema

MAX_DEPTH = 16
"""Nesting depth up to which line numbers are recorded; a YAML alias may refer to its own parent."""

_Path = tuple[str | int, ...]


def load_text(text: str, name: str = 'schema') -> schema.Fleet:
    """Return the fleet that the text of a schema file declares.

    Raises `FindingsError` with all findings, each with file, line and path.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        location = f'{name}:{mark.line + 1 if mark else 1}'
        problem = getattr(error, 'problem', None) or str(error)
        raise exceptions.FindingsError([exceptions.Finding(location, problem)]) from error
    lines: dict[_Path, int] = {}
    _collect_lines(node, (), lines)
    try:
        fleet = schema.Fleet.model_validate(data)
    except pydantic.ValidationError as error:
        errors = [(tuple(e['loc']), e['msg']) for e in error.errors()]
        raise exceptions.FindingsError(_locate(errors, lines, name)) from error
    errors = list(check_references(fleet))
    if errors:
        raise exceptions.FindingsError(_locate(errors, lines, name))
    return fleet


def load_file(path: str) -> schema.Fleet:
    """Return the fleet declared in the file at `path`."""
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except OSError as error:
        raise exceptions.FindingsError([exceptions.Finding(path, str(error.strerror))]) from error
    return load_text(text, path)


def check_references(fleet: schema.Fleet) -> Iterable[tuple[_Path, str]]:
    """Yield the path and the message of each duplicate name and dangling reference."""
    yield from _check_duplicates('models', [m.name for m in fleet.models])
    yield from _check_duplicates('services', [s.name for s in fleet.services])
    yield from _check_duplicates('accounts', [a.name for a in fleet.accounts])
    yield from _check_duplicates('pools', [p.name for p in fleet.pools])
    yield from _check_services(fleet)
    yield from _check_accounts(fleet)
    yield from _check_upstreams(fleet)
    yield from _check_rules(fleet)


def _check_duplicates(section: str, names: list[str]) -> Iterable[tuple[_Path, str]]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield (section, index, 'name'), f'{name!r} is declared twice'
        seen.add(name)


def _check_services(fleet: schema.Fleet) -> Iterable[tuple[_Path, str]]:
    models = {m.name: m for m in fleet.models}
    pools = {p.name for p in fleet.pools}
    for index, service in enumerate(fleet.services):
        location: _Path = ('services', index)
        if service.pool not in pools:
            yield (*location, 'pool'), f'no pool is called {service.pool!r}'
        if service.kind == 'plain':
            if service.model is not None:
                yield (*location, 'model'), 'a plain service has no model'
            continue
        if service.model is None:
            yield location, 'a model service needs a model'
        elif service.model not in models:
            yield (*location, 'model'), f'no model is called {service.model!r}'
        elif service.adapter and service.adapter not in models[service.model].adapters:
            yield (*location, 'adapter'), f'{service.model!r} has no adapter {service.adapter!r}'


def _check_accounts(fleet: schema.Fleet) -> Iterable[tuple[_Path, str]]:
    services = {s.name for s in fleet.services}
    owners: dict[str, str] = {}
    for index, account in enumerate(fleet.accounts):
        for position, name in enumerate(account.services):
            if name not in services:
                yield ('accounts', index, 'services', position), f'no service is called {name!r}'
        for position, digest in enumerate(account.key_digests):
            if digest in owners:
                message = f'the key is also that of {owners[digest]!r}'
                yield ('accounts', index, 'key_digests', position), message
            owners[digest] = account.name


def _check_upstreams(fleet: schema.Fleet) -> Iterable[tuple[_Path, str]]:
    counts: collections.Counter[str] = collections.Counter()
    for index, pool in enumerate(fleet.pools):
        for position, upstream in enumerate(pool.upstreams):
            counts[upstream.name] += 1
            if counts[upstream.name] > 1:
                location = ('pools', index, 'upstreams', position, 'name')
                yield location, f'{upstream.name!r} is declared twice'


def _check_rules(fleet: schema.Fleet) -> Iterable[tuple[_Path, str]]:
    services = {s.name for s in fleet.services} | {'*'}
    accounts = {a.name for a in fleet.accounts} | {'*'}
    for index, rule in enumerate(fleet.rules):
        for position, name in enumerate(rule.services):
            if name not in services:
                yield ('rules', index, 'services', position), f'no service is called {name!r}'
        for position, name in enumerate(rule.accounts):
            if name not in accounts:
                yield ('rules', index, 'accounts', position), f'no account is called {name!r}'


def _collect_lines(node: yaml.Node | None, path: _Path, lines: dict[_Path, int]) -> None:
    if node is None or len(path) > MAX_DEPTH:
        return
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            lines[(*path, key.value)] = key.start_mark.line + 1
            _collect_lines(value, (*path, key.value), lines)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _collect_lines(value, (*path, index), lines)


def _locate(
    errors: list[tuple[_Path, str]], lines: dict[_Path, int], name: str
) -> list[exceptions.Finding]:
    findings = []
    for path, message in errors:
        ancestor = path
        while ancestor and ancestor not in lines:
            ancestor = ancestor[:-1]
        dotted = '.'.join(str(part) for part in path) or '(top)'
        findings.append(exceptions.Finding(f'{name}:{lines.get(ancestor, 1)} {dotted}', message))
    return findings
