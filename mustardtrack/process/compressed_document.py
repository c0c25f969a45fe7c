"""Compressed copy of the configuration document for routers."""

import zlib

from mustardtrack.configuration.documents import Document

COMPRESSION_LEVEL = 6


class CompressedDocument:
    """Compresses each version once, although all routers ask for it."""

    def __init__(self) -> None:
        self._version = 0
        self._content = b""

    def compress(self, document: Document) -> bytes:
        """Return the compressed content of a document."""
        if self._version != document.version:
            self._version = document.version
            self._content = zlib.compress(document.content, COMPRESSION_LEVEL)
        return self._content
