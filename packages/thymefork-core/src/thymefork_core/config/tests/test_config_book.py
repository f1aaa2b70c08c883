"""The version in force never goes back, whatever is offered in whatever order."""

from hypothesis import given, strategies as st

from thymefork_core.config import ConfigBook, ConfigVersion
from thymefork_core.model import OperatorsFile

FILE = OperatorsFile(
    region="r", halls=(), workers=(), services=(), teams=(), policies=()
)


def make(version, base, record_id):
    return ConfigVersion(
        version=version, base=base, author="a", record_id=record_id, file=FILE
    )


offer = st.tuples(
    st.booleans(), st.integers(0, 6), st.integers(0, 6), st.sampled_from("abcdef")
)


@given(st.lists(offer, max_size=40))
def test_version_never_goes_back(offers):
    book = ConfigBook()
    for from_log, version, base, record_id in offers:
        before = book.version
        candidate = make(version, base, record_id)
        take = book.offer_from_log if from_log else book.offer_newer
        taken = take(candidate)
        assert book.version >= before
        assert taken == (book.current is candidate)
        assert not taken or book.version > before


def test_the_first_record_over_a_base_wins():
    book = ConfigBook()
    assert book.offer_from_log(make(1, 0, "ana"))
    assert not book.offer_from_log(make(1, 0, "luis"))
    assert book.current.record_id == "ana"
