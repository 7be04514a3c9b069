"""Puts the locked dependencies and the product where the platform runs them."""

import compileall
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / "target" / "deps"
LOCK = ROOT / "requirements.lock"
# A copy of the lock file that the installed dependencies belong to.
INSTALLED = ROOT / "target" / "installed.lock"


def install_dependencies() -> None:
    """Installs the locked dependencies unless they are there already."""
    if INSTALLED.exists() and INSTALLED.read_bytes() == LOCK.read_bytes():
        return
    arguments = ["--quiet", "--disable-pip-version-check", "--upgrade"]
    subprocess.run(
        [sys.executable, "-m", "pip", "install", *arguments]
        + ["--target", str(DEPENDENCIES), "-r", str(LOCK)],
        check=True,
    )
    shutil.copyfile(LOCK, INSTALLED)


def copy_product() -> None:
    """Copies the package beside its dependencies and compiles both."""
    target = DEPENDENCIES / "chervillead"
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(ROOT / "src" / "chervillead", target)
    compileall.compile_dir(target, quiet=1)


if __name__ == "__main__":
    install_dependencies()
    copy_product()
