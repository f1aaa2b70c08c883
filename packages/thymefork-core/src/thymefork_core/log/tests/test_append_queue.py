"""Group commit: nothing lost, nothing sent twice under another id."""

from thymefork_core.log import AppendQueue


def test_entries_wait_while_a_record_is_in_flight():
    queue = AppendQueue(author="a")
    queue.add("one")
    first = queue.next_batch(0)
    queue.add("two")
    assert first.entries == ("one",)
    assert queue.next_batch(1) is None
    queue.acknowledged(first.record_id)
    assert queue.next_batch(2).entries == ("two",)


def test_a_lost_answer_is_looked_for_before_the_record_is_sent_again():
    queue = AppendQueue(author="a")
    queue.add("one")
    first = queue.next_batch(0)
    queue.lost_answer(first.record_id, 100)
    assert queue.not_found(99) is None
    again = queue.not_found(101)
    assert (again.record_id, again.sends) == (first.record_id, 2)
    assert queue.not_found(102) is None


def test_a_refusal_of_a_second_send_is_still_in_doubt():
    """The first copy may land late, so its entries are not put back."""
    queue = AppendQueue(author="a")
    queue.add("one")
    first = queue.next_batch(0)
    queue.lost_answer(first.record_id, 1)
    queue.not_found(2)
    assert queue.refused(first.record_id, 3, 100) is None
    assert queue.in_flight is not None
    assert queue.not_found(4) is not None


def test_a_refused_record_is_put_back_in_front():
    queue = AppendQueue(author="a")
    queue.add("one")
    first = queue.next_batch(0)
    queue.add("two")
    queue.refused(first.record_id, 0, 100)
    assert queue.next_batch(99) is None
    assert queue.next_batch(100).entries == ("one", "two")
