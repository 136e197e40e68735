"""Settings of all tests: hypothesis gives the same examples on every run."""

from __future__ import annotations

import hypothesis

hypothesis.settings.register_profile(
    'deterministic', derandomize=True, deadline=None, max_examples=100, print_blob=False
)
hypothesis.settings.load_profile('deterministic')
