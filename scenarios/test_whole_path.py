"""The whole path, by separate processes."""


def test_every_kind_of_request_is_answered(cluster):
    first, last = cluster.names[0], cluster.names[-1]
    assert cluster.lookup(first, "item?q=7").document["q"] == "7"
    job = cluster.spec("job", tasks=8)
    (answer,) = cluster.submit(last, job)
    assert answer["outcome"] == "done"
    assert answer["exit_codes"] == [0] * 8
    assert len(cluster.starts_of(job["work_id"])) == 8
    again = cluster.submit(first, job)
    assert again == [answer]
    assert len(cluster.starts_of(job["work_id"])) == 8
