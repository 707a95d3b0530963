"""Renders the templates of deploy/ as the platform does, with deploy/example-fields.json, and
has the programs check the result; a settings file with faults is refused with all of them."""

import argparse
import json
import os
import re
import subprocess
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
DEPLOY = os.path.join(HERE, "..", "..", "deploy")
CHECK_SECONDS = 30
ACCEPTED, REFUSED = 0, 3
PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")
# Fields that only some deployments have, and what a program gets from them.
STRICT_BOUNDS = {"revokeStrict": True, "revokeMs": 5000}
PROGRAMS = {"entry.json.in": "papayabridged", "keeper.json.in": "papayakeeper"}


def example_fields(more_bounds):
    with open(os.path.join(DEPLOY, "example-fields.json"), encoding="utf-8") as file:
        fields = json.load(file)
    fields["bounds"].update(more_bounds)
    return fields


def value_of(fields, path):
    found = fields
    for name in path.split("."):
        found = found[int(name)] if isinstance(found, list) else found[name]
    return found


def render(template, fields):
    def replace(match):
        value = value_of(fields, match.group(1))
        return json.dumps(value) if match.group(2) or not isinstance(value, str) else value

    with open(os.path.join(DEPLOY, template), encoding="utf-8") as file:
        return PLACEHOLDER.sub(replace, file.read())


def check(program, text):
    """Exit code and output of --check-config on a file that holds `text`."""
    with tempfile.NamedTemporaryFile("w", suffix=".json", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        done = subprocess.run([program, "--settings", file.name, "--check-config"],
                              capture_output=True, text=True, timeout=CHECK_SECONDS,
                              check=False)
    return done.returncode, done.stdout + done.stderr


def problems_of(template, program, more_bounds):
    text = render(template, example_fields(more_bounds))
    code, output = check(program, text)
    if code != ACCEPTED:
        yield f"{template}: exits {code}: {output}"
    faulty = text.replace('"region": "r"', '"region": 5, "nosuch": 1')
    faulty = faulty.replace("127.0.0.1:9001", "nowhere").replace("127.0.0.1:9003", "nowhere")
    code, output = check(program, faulty)
    if code != REFUSED:
        yield f"{template} with faults: exits {code}"
    for name in ("region", "nosuch", "nowhere"):
        if name not in output:
            yield f"{template} with faults: does not name {name}: {output}"


def withdrawal_problems(program):
    """A time that is out of range is refused, so it was read."""
    fields = example_fields({"revokeStrict": True, "revokeMs": 5})
    code, output = check(program, render("entry.json.in", fields))
    if code != REFUSED or "revokeMs" not in output:
        yield f"entry.json.in: the withdrawal time of keys is not read: {code} {output}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="folder of the built programs")
    programs = os.path.abspath(parser.parse_args().bin)
    problems = []
    for template, program in PROGRAMS.items():
        for more_bounds in ({}, STRICT_BOUNDS):
            problems += problems_of(template, os.path.join(programs, program), more_bounds)
    problems += withdrawal_problems(os.path.join(programs, "papayabridged"))
    print("\n".join(problems))
    print(f"rendered-settings: {len(PROGRAMS)} templates, {len(problems)} problems")
    return 1 if problems else 0


sys.exit(main())
