"""Guards against a module that includes a header of a higher layer. The
layers are read from docs/design.md, section 3."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def layers():
    """Returns module name -> layer."""
    text = (ROOT / "docs" / "design.md").read_text()
    text = text[text.index("## 3."):text.index("Modules of layers 3 and 4")]
    found = {}
    for part in re.finditer(r"(?ms)^(\d)\. (.*?)(?=^\d\. |\Z)", text):
        for name in re.findall(r"`([a-z_]+)(?:\.[ch])?`", part.group(2)):
            found.setdefault(name, int(part.group(1)))
    return found


def main():
    layer, bad = layers(), 0
    for path in sorted((ROOT / "src").glob("*.[ch]")):
        own = layer.get(path.stem.replace("_private", ""), 7)
        for name in re.findall(r'#include "([a-z_]+)\.h"', path.read_text()):
            other = layer.get(name.replace("_private", ""), 0)
            if other > own:
                bad += 1
                print(f"{path.name} (layer {own}) includes {name}.h "
                      f"(layer {other})")
    return 1 if bad or len(layer) < 50 else 0


if __name__ == "__main__":
    sys.exit(main())
