"""Prompts described by named parts, with hashes that respect the isolation of accounts.

A part's hash is chained over the parts before it and rooted in the account (if it is isolated) and
the model. Weight versions are separated by the cache view, which drops the entries of a replica
when its version changes, and at the engines by the salt.
"""

from __future__ import annotations

import itertools

import msgspec
import xxhash

from passpier.core import choice


class Part(msgspec.Struct, frozen=True):
    """A part of a prompt; parts with the same name have the same tokens."""

    name: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """The description of a prompt in a request; `max_output` is in tokens."""

    model: str
    parts: tuple[Part, ...]
    max_output: int = 0

    @property
    def tokens(self) -> int:
        """The length of the prompt in tokens."""
        return sum(p.tokens for p in self.parts)


def render_salt(owner: str, model: str, weight_version: str) -> str:
    """Return the salt that separates an engine's cached parts by owner, model and version.

    The owner is that of `routes.Table.get_cache_owner`.
    """
    return f'{owner}/{model}/{weight_version}'


def build_job(prompt: Prompt, owner: str, priority: int) -> choice.Job:
    """Return the properties of a prompt for the choice of a replica."""
    chain = []
    identity = xxhash.xxh3_64_intdigest(render_salt(owner, prompt.model, '').encode())
    for part in prompt.parts:
        identity = xxhash.xxh3_64_intdigest(f'{identity:x}/{part.name}'.encode())
        chain.append(identity)
    ends = tuple(itertools.accumulate(p.tokens for p in prompt.parts))
    return choice.Job(
        chain,
        1,
        prompt.tokens,
        preamble_blocks=count_preamble(prompt),
        priority=priority,
        block_ends=ends,
        family=get_family(prompt),
        max_output=prompt.max_output,
    )


def count_preamble(prompt: Prompt) -> int:
    """Return the number of leading parts that are shared by several families.

    Families are spread over the pool, so every replica eventually caches these parts. If their
    copies were charged as duplicates, all new prompts after a change of weights would be sent to
    the few replicas that are the first to cache them.
    """
    return max(0, len(prompt.parts) - 2)


def get_family(prompt: Prompt) -> str:
    """Return the name of the last shared part; it doesn't depend on the weight version."""
    shared = prompt.parts[:-1] or prompt.parts
    return shared[-1].name if shared else ''
