"""A body comes in chunks of one byte, without end."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import endless

FOLDER = Path(__file__).resolve().parent

CHUNKS = b"1\r\nx\r\n" * 100_000
endless.run("idempotent", "application/json", CHUNKS, 3, FOLDER)
