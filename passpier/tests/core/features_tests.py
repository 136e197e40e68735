"""The list of features that an operator has switched off."""

from __future__ import annotations

import pytest

from passpier.core import features


def test_names_are_separated_by_commas() -> None:
    disabled = features.parse_disabled('separation, locality,')
    assert disabled == {features.Feature.SEPARATION, features.Feature.LOCALITY}


def test_a_name_that_is_misspelt_is_an_error() -> None:
    """Guards against leaving a feature on that the operator meant to switch off."""
    with pytest.raises(ValueError, match='seperation'):
        features.parse_disabled('seperation')
