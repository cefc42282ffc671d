#!/bin/bash
# Case 10. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -f "$root/review/target/standin-2/SameAddress.class" ] || [ ! -f "$root/serve/target/serve.jar" ]; then
  echo "build first: the build line of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
exec java -cp "$root/review/target/standin-2" SameAddress "$root" "$here"
