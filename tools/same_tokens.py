#!/usr/bin/env python3
"""same_tokens.py OLD NEW [PATH-PREFIX...]: compares the C, C++ files of two trees without comments and layout.

Lists, per file: other tokens (a statement, check or number that changed, moved, is lost or new), changed
string literals (old, new). Lists identifiers that became different names in different places, and different
identifiers of one file that became one. NEW must be a git worktree; renamed files are followed.
Exit 1 when tokens other than identifiers and strings differ.
"""
import collections, difflib, os, re, subprocess, sys
old, new = map(os.path.abspath, sys.argv[1:3]); pre = tuple(sys.argv[3:])
base = subprocess.run(["git", "-C", old, "rev-parse", "HEAD"], capture_output=True, text=True).stdout.strip()
ns = subprocess.run(["git", "-C", new, "diff", "--name-status", "-M50", base, "--", "packages", "platform", "tests", "experiment", "examples"], capture_output=True, text=True).stdout.splitlines()
T = re.compile(r'(/\*.*?\*/|//[^\n]*)|("(?:\\.|[^"\\\n])*")|(\'(?:\\.|[^\'\\\n])*\')|([A-Za-z_]\w*)|(0[xX][0-9a-fA-F]+\w*|\d[\w.]*)|(\\\n)|(\s+)|(.)', re.S)
def toks(path):
    out, inc = [], []
    s = open(path, encoding="utf-8").read()
    s2 = re.sub(r"^[ \t]*#[ \t]*include[^\n]*\n", lambda m: inc.append(m[0].strip()) or "", s, flags=re.M)
    for m in T.finditer(s2):
        if m[1] or m[6] or m[7]: continue
        if m[2]:
            if out and out[-1][0] == "s": out[-1] = ("s", out[-1][1] + m[2][1:-1])
            else: out.append(("s", m[2][1:-1]))
        elif m[4]: out.append(("i", m[4]))
        else: out.append(("p", m[0]))
    return out, inc
bad = 0; maps = collections.defaultdict(collections.Counter); texts = 0
for l in ns:
    f = l.split("\t")
    if f[0][0] in "AD": print(f"{f[0]} {f[1]}"); continue
    a, b = (f[1], f[2]) if f[0][0] == "R" else (f[1], f[1])
    if not b.endswith((".c", ".h", ".cc")) or (pre and not b.startswith(pre)): continue
    if f[0][0] == "R": print(f"renamed {a} -> {b}")
    (x, ix), (y, iy) = toks(f"{old}/{a}"), toks(f"{new}/{b}")
    if sorted(ix) != sorted(iy): print(f"{b}: includes: -{sorted(set(ix)-set(iy))} +{sorted(set(iy)-set(ix))}")
    key = lambda t: t[1] if t[0] == "p" else t[0]
    kx, ky = list(map(key, x)), list(map(key, y))
    def pairs(xs, ys):
        global texts
        local = collections.defaultdict(set)
        for p, q in zip(xs, ys):
            if p[0] == "i":
                maps[p[1]][q[1]] += 1; local[q[1]].add(p[1])
            elif p[0] == "s" and p[1] != q[1]:
                texts += 1; print(f"{b}: text {p[1]!r} -> {q[1]!r}")
        for n, o in local.items():
            if len(o) > 1: print(f"{b}: {sorted(o)} all became {n}")
    if kx == ky: pairs(x, y); continue
    bad += 1
    for op, i1, i2, j1, j2 in difflib.SequenceMatcher(None, kx, ky, autojunk=False).get_opcodes():
        if op == "equal": pairs(x[i1:i2], y[j1:j2]); continue
        print(f"{b}: tokens: - {' '.join(t[1] for t in x[max(0,i1-4):i2+4])[:200]} + {' '.join(t[1] for t in y[max(0,j1-4):j2+4])[:200]}")
for o in sorted(maps):
    if len(maps[o]) > 1: print(f"identifier {o}: became {dict(maps[o])}")
if os.environ.get("TABLE"):
    with open(os.environ["TABLE"], "w") as t:
        for o in sorted(maps):
            for n in maps[o]:
                if n != o: t.write(f"{o}\t{n}\n")
print(f"{len(ns)} files changed, {bad} with other tokens, {texts} texts, {sum(1 for o in maps if set(maps[o]) != {o})} identifiers renamed")
sys.exit(bad > 0)
