#!/usr/bin/env bash
# Runs the scenario of a case: run-case.sh FOLDER CLASS. Ends all processes that the scenario started, also when cut off.
set -u
folder=$(cd "$1" && pwd)
repository=$(cd "$folder/../.." && pwd)
temporary=$(mktemp -d)
scenario=
finish() {
    trap - EXIT INT TERM HUP
    if [ -n "$scenario" ] && kill -0 "$scenario" 2>/dev/null; then
        kill -TERM "$scenario" 2>/dev/null
        wait "$scenario" 2>/dev/null
    fi
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do
            # Only if it is still one of the controllers of this run.
            if { tr '\0' ' ' < "/proc/$pid/cmdline" | grep -qF "$temporary/"; } 2>/dev/null; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done < "$temporary/pids"
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then
        echo "logs: $temporary" >&2
    else
        rm -rf "$temporary"
    fi
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
if [ ! -f "$repository/review/target/classes/$2.class" ] || [ ! -f "$repository/target/quartzgw.jar" ]; then
    echo "run the build of deploy/service.toml and review/build.sh first" >&2
    exit 2
fi
cd "$repository" || exit 2
java -Xmx512m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.idleInterval=3600 \
    -Dsun.net.httpserver.maxIdleConnections=1000 \
    -cp review/target/classes:target/quartzgw.jar "$2" "$folder" "$temporary" "$repository" &
scenario=$!
wait "$scenario"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
