"""The active configuration, indexed for lookups."""

from __future__ import annotations

import hashlib

from passpier.config import declarations

DEFAULT_RULE = declarations.Rule()


class Directory:
    """Lookups of models, services, accounts, pools and rules in one revision."""

    def __init__(self, fleet: declarations.Fleet, revision: int) -> None:
        self.fleet = fleet
        self.revision = revision
        self.models = {m.name: m for m in fleet.models}
        self.services = {s.name: s for s in fleet.services}
        self.accounts = {a.name: a for a in fleet.accounts}
        self.pools = {p.name: p for p in fleet.pools}
        self._by_digest = {d: a for a in fleet.accounts for d in a.key_digests}

    def find_account(self, api_key: str) -> declarations.Account | None:
        """Return the account of an API key, or none if the key is unknown."""
        return self._by_digest.get(hash_key(api_key))

    def find_service(self, account: declarations.Account, name: str) -> declarations.Service | None:
        """Return a service by name, or none if the account may not use it."""
        if account.services and name not in account.services:
            return None
        return self.services.get(name)

    def find_policy(self, service: str, account: str) -> str:
        """Return the policy of the first matching rule."""
        for rule in self.fleet.rules:
            if _matches(rule.services, service) and _matches(rule.accounts, account):
                return rule.policy
        return DEFAULT_RULE.policy

    def find_model_of_pool(self, pool: str) -> declarations.Model | None:
        """Return the model that a pool serves, or none for a pool of plain services."""
        for service in self.fleet.services:
            if service.pool == pool and service.model is not None:
                return self.models[service.model]
        return None


def is_repeatable(service: declarations.Service, path: str) -> bool:
    """Return whether a request to a path may be repeated; the longest matching prefix decides."""
    best = max(
        (p for p in service.paths if path == p.path or path.startswith(p.path.rstrip('/') + '/')),
        key=lambda p: len(p.path),
        default=None,
    )
    return service.repeatable if best is None else best.repeatable


def hash_key(api_key: str) -> str:
    """Return the digest of an API key, as it is stored in the configuration."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def _matches(names: tuple[str, ...], name: str) -> bool:
    return '*' in names or name in names
