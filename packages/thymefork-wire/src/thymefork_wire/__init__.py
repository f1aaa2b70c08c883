"""Wire forms: thrift between instances, JSON for records and files."""

from thymefork_net.frames import FrameReader, frame

from .documents import decode_config_version, encode_config_version
from .envelope import decode_envelope, encode_envelope
from .records import RecordCodec
from .strict import load_document

__all__ = [
    "FrameReader",
    "RecordCodec",
    "decode_config_version",
    "decode_envelope",
    "encode_config_version",
    "encode_envelope",
    "frame",
    "load_document",
]
