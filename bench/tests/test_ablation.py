"""Tests of the patches that disable mechanisms."""

import shutil
from pathlib import Path

import pytest

from bench.ablation import MECHANISMS, AblationError, main

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("name", MECHANISMS)
def test_each_mechanism_patches_the_current_source(name, tmp_path):
    patch = MECHANISMS[name]
    copy = tmp_path / patch.path
    copy.parent.mkdir(parents=True)
    shutil.copy(ROOT / patch.path, copy)
    main(name, str(tmp_path))
    compile(copy.read_text(encoding="utf-8"), str(copy), "exec")
    assert copy.read_text(encoding="utf-8") != (ROOT / patch.path).read_text(
        encoding="utf-8"
    )


def test_unknown_mechanism_is_refused(tmp_path):
    with pytest.raises(AblationError, match="none of"):
        main("luck", str(tmp_path))
