"""Checks that the key of a queued or repeated request is still valid."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from passpier import clocks
from passpier.routing import registry_mirror, requests


class UnverifiedKeyError(Exception):
    """The request was not sent, because the client's key may have been revoked meanwhile."""


class RevokedKeyError(Exception):
    """The request was not sent, because the client's key has been revoked meanwhile."""


class KeyCheck:
    """Whether the key of an admitted request is still valid.

    With `keys_expire`, a key is valid only as long as its revocation would be known.
    """

    def __init__(
        self,
        admitted: requests.Admitted,
        registry_state: registry_mirror.RegistryState,
        keys_expire: Callable[[], bool],
    ) -> None:
        self._admitted = admitted
        self._registry_state = registry_state
        self._keys_expire = keys_expire
        self._wait: asyncio.Timeout | None = None

    def is_valid(self) -> bool:
        """Return whether the key is certainly still valid."""
        if self._admitted.account is None:
            return True
        return not self._is_revoked() and self._is_state_fresh()

    @contextlib.asynccontextmanager
    async def waiting(self) -> AsyncIterator[None]:
        """Interrupt the body once the key is revoked; raises `RevokedKeyError`."""
        watchers = self._registry_state.configuration_watchers
        try:
            async with asyncio.timeout(None) as self._wait:
                watchers.add(self._note_configuration)
                yield
        except TimeoutError as error:
            raise RevokedKeyError from error
        finally:
            watchers.discard(self._note_configuration)
            self._wait = None

    def _note_configuration(self) -> None:
        """End the wait if the new configuration has revoked the key."""
        if self._wait is not None and self._is_revoked():
            self._wait.reschedule(asyncio.get_running_loop().time())

    def build_error(self) -> Exception:
        """Return the error for a request whose key is not certainly valid."""
        return RevokedKeyError() if self._is_revoked() else UnverifiedKeyError()

    def _is_revoked(self) -> bool:
        """Return whether the configuration has changed so that the key is not the account's."""
        table = self._registry_state.table
        assert table is not None
        if self._admitted.account is None:
            return False
        account = table.find_account(self._admitted.client_request.key or '')
        is_known = account is not None and account.name == self._admitted.account.name
        return table.configuration.has_accounts and not is_known

    def _is_state_fresh(self) -> bool:
        if not self._keys_expire():
            return True
        return self._registry_state.freshness.is_fresh(clocks.now())
