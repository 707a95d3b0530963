"""Runs the walks of docs/OPERATIONS.md from a failed request to its cause: each block marked
`logwalk` is a command behind "$ " and what it must print, on logs that our fakes wrote.
The logs of in-doubt/ are joined from two tests: the entry's of session_test, the keeper's of
promotion_test."""

import argparse
import os
import re
import shlex
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
PAGE = os.path.join(HERE, "..", "..", "docs", "OPERATIONS.md")
BLOCK = re.compile(r"^```logwalk\n\$ (.*?)\n(.*?)^```", re.MULTILINE | re.DOTALL)
COMMAND_SECONDS = 30
LEAST_WALKS = 3


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="folder of the built programs")
    programs = os.path.abspath(parser.parse_args().bin)
    with open(PAGE, encoding="utf-8") as page:
        blocks = BLOCK.findall(page.read())
    problems = 0 if len(blocks) >= LEAST_WALKS else 1
    for line, expected in blocks:
        words = shlex.split(line)
        done = subprocess.run([os.path.join(programs, words[0])] + words[1:], cwd=HERE,
                              capture_output=True, text=True, timeout=COMMAND_SECONDS,
                              check=False)
        printed = done.stdout + done.stderr
        same = printed.splitlines() == expected.splitlines()
        print(f"$ {line}  -> {'as on the page' if same else 'differs:'}")
        if not same:
            problems += 1
            print(printed)
    print(f"log-walks: {len(blocks)} commands, {problems} problems")
    return 1 if problems else 0


sys.exit(main())
