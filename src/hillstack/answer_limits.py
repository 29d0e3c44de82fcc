"""Sizes that answers may have.

Apart from ``answer_bodies``, since the settings need them and load no HTTP client.
"""

from __future__ import annotations

MEBIBYTE = 1_048_576
# Longest answer to a request or call: as much as a request may have by default.
MAX_ANSWER_BYTES = 4 * MEBIBYTE
# Bytes of all answers that one reader holds at a time. The smallest known machines have 88 MB, of
# which an idle node takes about 60.
MAX_TOTAL_BYTES = 12 * MEBIBYTE
# Longest answer of the platform's store: a configuration of the greatest size, several times.
MAX_STORE_ANSWER_BYTES = 16 * MEBIBYTE
