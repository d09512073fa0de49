"""An engine in trouble sends a body without end: line ends, or chunks of one byte.

``BODY=chunks`` plays the second one; the first is the case.
"""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import endless

FOLDER = Path(__file__).resolve().parent
LINES = (b"10000\r\n" + b"\n" * 0x10000 + b"\r\n") * 8
CHUNKS = b"1\r\nx\r\n" * 100_000

if os.environ.get("BODY") == "chunks":
    endless.run("idempotent", "application/json", CHUNKS, 3, FOLDER)
else:
    endless.run("stream", "text/event-stream", LINES, 1, FOLDER)
