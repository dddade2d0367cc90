#!/usr/bin/env python3
"""rename.py TREE TABLE [BUILD]: carries out a table of renames over a whole source tree.

TABLE: a line each, fields separated by blanks, # begins a comment:
  old new                 an identifier that is unique in the tree (function, macro, struct tag,
                          enum constant, static function): every token outside string literals
  old new GLOB[,GLOB...]  the same, only in files whose path (relative to TREE) matches a glob
  struct::member new      a struct member: clang-rename, in all files that use it
  file:old/path new/path  git mv, and #include lines, CMakeLists, scripts that name it
Words in comments follow for names with an underscore or an upper-case letter.
BUILD: a build directory of the tree with compile_commands.json (default TREE/build).
Afterwards changed C files are formatted by clang-format. Nothing is committed.
"""
import fnmatch, json, os, re, subprocess, sys
tree = os.path.abspath(sys.argv[1]); table = sys.argv[2]
build = os.path.abspath(sys.argv[3] if len(sys.argv) > 3 else tree + "/build")
plain, members, files = [], [], []
for n, line in enumerate(open(table), 1):
    f = line.split("#")[0].split()
    if not f: continue
    if len(f) not in (2, 3): sys.exit(f"{table}:{n}: two or three fields wanted")
    if f[0].startswith("file:"): files.append((f[0][5:], f[1]))
    elif "::" in f[0]: members.append((f[0], f[1]))
    else: plain.append((f[0], f[1], f[2].split(",") if len(f) > 2 else None))
tracked = subprocess.run(["git", "-C", tree, "ls-files", "packages", "platform", "tests", "experiment", "examples",
    "models", "tools", "deploy", "KNOWN-RED.txt", "Makefile", "CMakeLists.txt"], capture_output=True, text=True).stdout.split()
tracked = [t for t in tracked if os.path.isfile(f"{tree}/{t}") and "/generated/" not in t]
code = [t for t in tracked if t.endswith((".c", ".h", ".cc"))]
read = lambda t: open(f"{tree}/{t}", encoding="utf-8").read()
changed = set()
# Members come first: compile_commands.json has the paths from before the files move.
if members:
    import concurrent.futures, tempfile
    cc = json.load(open(build + "/compile_commands.json"))
    tus = {os.path.relpath(os.path.join(e["directory"], e["file"]), tree) for e in cc}
    last = {q.split("::")[-1] for q, _ in members}
    # units that may see a use, directly or by a header: those with the name, those that include such a header
    uses = lambda t: last & set(re.findall(r"\w+", read(t)))
    headers = {re.sub(r"^packages/", "", t) for t in code if t.endswith(".h") and uses(t)}
    units = sorted(t for t in code if t in tus and (uses(t) or headers & set(re.findall(r'#include "([^"]+)"', read(t)))))
    if os.environ.get("UNITS"):
        own = open(os.environ["UNITS"]).read().split()
        units = [t for t in units if any(fnmatch.fnmatch(t, p) for p in own)]
    with tempfile.TemporaryDirectory() as out:
        def one(t):
            cmd = ["clang-rename-14", "-force", "-p", build, "-export-fixes=" + out + "/" + t.replace("/", "_") + ".yaml"]
            for q, new in members: cmd += ["-qualified-name=" + q, "-new-name=" + new]
            r = subprocess.run(cmd + [f"{tree}/{t}"], capture_output=True, text=True)
            bad = [l for l in r.stderr.splitlines() if " error: " in l and "could not find symbol" not in l]
            return f"{t}: {bad[0]}" if bad else ""
        with concurrent.futures.ThreadPoolExecutor(int(os.environ.get('JOBS', '3'))) as pool:
            for e in pool.map(one, units):
                if e: print(e)
        before = {t: read(t) for t in code}
        r = subprocess.run(["clang-apply-replacements-14", out], capture_output=True, text=True)
        if r.returncode: print(r.stdout + r.stderr)
        changed |= {t for t in code if read(t) != before[t]}
for old, new in files:
    if not os.path.exists(f"{tree}/{old}"): print(f"file {old}: not there, passed over"); continue
    subprocess.run(["git", "-C", tree, "mv", old, new], check=True)
    tracked = [new if t == old else t for t in tracked]; code = [new if t == old else t for t in code]
    changed = {new if t == old else t for t in changed}
    inc = lambda p: re.sub(r"^packages/", "", p)
    for t in tracked:
        s = read(t); r = s.replace(f'"{inc(old)}"', f'"{inc(new)}"')
        if not t.endswith((".c", ".h", ".cc")):
            r = re.sub(r"(?<![\w/])%s(?!\w)" % re.escape(os.path.basename(old)), os.path.basename(new), r) if os.path.dirname(t) and os.path.dirname(old).startswith(os.path.dirname(t)) else r
            r = r.replace(old, new)
        if r != s: open(f"{tree}/{t}", "w").write(r); changed.add(t)
tok = re.compile(r'("(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])*\')|(/\*.*?\*/|//[^\n]*)|([A-Za-z_]\w*)', re.S)
word = re.compile(r"[A-Za-z_]\w*")
seen = set()
for t in tracked:
    here = {o: n for o, n, g in plain if g is None or any(fnmatch.fnmatch(t, p) for p in g)}
    if not here: continue
    s = read(t)
    if t in code or t.endswith(".x"):
        def sub(m):
            if m[1]: return m[1]
            if m[2]: return word.sub(lambda w: here.get(w[0], w[0]) if ("_" in w[0] or w[0] != w[0].lower()) else w[0], m[2])
            if m[3] in here: seen.add(m[3])
            return here.get(m[3], m[3])
        # #include lines hold file names, not identifiers
        parts = re.split(r"(^[ \t]*#[ \t]*include[^\n]*\n)", s, flags=re.M)
        r = "".join(p if i % 2 else tok.sub(sub, p) for i, p in enumerate(parts))
    elif t == "KNOWN-RED.txt" or t.endswith((".sh", "Makefile")):
        r = word.sub(lambda w: here.get(w[0], w[0]) if re.search(r"[A-Z].*[a-z]|^[A-Za-z]+_[a-z_]+$", w[0]) else w[0], s)
    else: continue
    if r != s: open(f"{tree}/{t}", "w").write(r); changed.add(t)
for o, n, g in plain:
    if o not in seen: print(f"{o}: no such identifier, passed over")
fmt = sorted(t for t in changed if t.endswith((".c", ".h", ".cc")) and os.path.isfile(f"{tree}/{t}"))
if fmt: subprocess.run(["clang-format", "-i"] + [f"{tree}/{t}" for t in fmt], check=True)
print(f"{len(plain)} identifiers, {len(members)} members, {len(files)} files; {len(changed)} files changed")
