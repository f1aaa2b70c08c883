"""The JSON form of log records and checkpoints."""

import orjson

from thymefork_core.exceptions import ProtocolError
from thymefork_core.ledger import AcceptedState, Entry, HallState, Record
from thymefork_core.log import Stream

from .converter import RECORDS

__all__ = ["RecordCodec"]

_STATES = {
    Stream.HALL_CHECKPOINT: HallState,
    Stream.ACCEPTED_CHECKPOINT: AcceptedState,
}


class RecordCodec:
    """Turn batches into record bodies and bodies into records."""

    @staticmethod
    def encode(batch):
        """Return the bytes of a record's body."""
        entries = [RECORDS.unstructure(e, unstructure_as=Entry) for e in batch.entries]
        return orjson.dumps({"by": batch.author, "entries": entries})

    @staticmethod
    def decode(offset, record_id, body):
        """Return a record.

        Raises: ProtocolError if the body is no record.
        """
        try:
            entries = RECORDS.structure(body["entries"], tuple[Entry, ...])
            return Record(
                offset=offset,
                record_id=record_id,
                author=body["by"],
                entries=entries,
            )
        except Exception as failure:
            message = f"record {record_id} is not readable"
            raise ProtocolError(message, step="record") from failure

    @staticmethod
    def encode_state(state):
        """Return the bytes of a checkpoint."""
        return orjson.dumps(RECORDS.unstructure(state))

    @staticmethod
    def decode_state(stream, body):
        """Return the state that a checkpoint holds."""
        return RECORDS.structure(body, _STATES[stream])
