#!/usr/bin/env python3
"""Runs clang-tidy over every compiled file of this project; needs build/compile_commands.json.

Clean results are cached by a hash of the source and its preprocessed output, so unchanged files are not checked again.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "goldcrestwell-lint"
FOLDERS = tuple(str(ROOT / name) + os.sep for name in ("src", "test", "bench", "soak"))


def content_key(entry, base):
    """Returns the cache key of a file, or None if it cannot be preprocessed."""
    command = [word for word in shlex.split(entry["command"]) if not word.endswith("ccache")]
    output = command.index("-o")
    del command[output : output + 2]
    command[command.index("-c")] = "-E"
    done = subprocess.run(command, cwd=entry["directory"], capture_output=True, check=False)
    if done.returncode != 0:
        return None
    source = pathlib.Path(entry["file"]).read_bytes()
    return hashlib.sha256(base + source + done.stdout.replace(str(ROOT).encode(), b"")).hexdigest()


def check(entry, base):
    """Returns the findings of one file; empty if it is clean."""
    key = content_key(entry, base)
    stamp = CACHE / key if key else None
    if stamp and stamp.exists():
        return ""
    done = subprocess.run(["clang-tidy", "-quiet", "-p", str(ROOT / "build"), entry["file"]],
                          capture_output=True, text=True, check=False)
    if done.returncode == 0:
        if stamp:
            stamp.touch()
        return ""
    print(f"lint: findings in {entry['file']}", file=sys.stderr, flush=True)
    return done.stdout + done.stderr


def main():
    entries = [entry for entry in json.loads((ROOT / "build" / "compile_commands.json").read_text())
               if entry["file"].startswith(FOLDERS)]
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    # NOLINT comments in headers affect the findings in files that include them, but the preprocessor drops comments.
    headers = b"".join(path.read_bytes() for path in sorted(ROOT.glob("src/**/*.hpp")) if b"NOLINT" in path.read_bytes())
    base = version + (ROOT / ".clang-tidy").read_bytes() + headers
    CACHE.mkdir(parents=True, exist_ok=True)
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        findings = [text for text in pool.map(lambda entry: check(entry, base), entries) if text]
    lines = sorted({line for text in findings for line in text.splitlines() if "error:" in line or "warning:" in line})
    for line in lines[:60]:
        print(line)
    if findings:
        print(f"lint: failed in {len(findings)} of {len(entries)} files", file=sys.stderr)
        return 1
    print(f"lint: clean, {len(entries)} files")
    return 0


if __name__ == "__main__":
    sys.exit(main())
