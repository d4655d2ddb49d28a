# Functions that the scripts in bin/ share: they build the archive, create a folder for one run, write settings, and start and
# stop processes. Sourced, not executed. The sourcing script sets $root.

version=0.1.0
run=$(mktemp -d)
pids=""

# Builds the archive if it is missing or older than the sources, and unpacks it into the run's folder.
unpack() {
  archive="$root/target/sniperoute-programs/sniperoute-$version.tar.gz"
  if [ ! -e "$archive" ] || [ -n "$(find "$root/process" "$root/version" "$root/connection" "$root/request" "$root/programs" "$root/pom.xml" \
      \( -name '*.kt' -o -name 'pom.xml' -o -path '*/launchers/*' \) -not -path '*/target/*' -newer "$archive" -print -quit)" ]; then
    echo "building"
    (cd "$root" && mvn -q -B -DskipTests package) || exit 1
  fi
  tar -xzf "$archive" -C "$run"
  programs="$run/sniperoute-$version/bin"
}

# Starts a program in the background: start NAME PROGRAM ARGUMENTS. Stores its process id in pid_NAME.
start() {
  name=$1; shift
  program=$1; shift
  "$programs/$program" "$@" > "$run/$name.log" 2>&1 &
  eval "pid_$name=$!"
  pids="$pids $!"
}

# Sends a signal to one process and waits until it has ended: stop NAME SIGNAL.
stop() {
  eval "pid=\$pid_$1"
  kill "-$2" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
}

stop_all() {
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$run"
}

secret() { head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n'; }

digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# Writes the settings of three control replicas (VMs c1 to c3) and of $1 routers (VMs r1 ...). Needs the ports in
# $control_peer_N, $control_page_N, $router_caller_N and $router_page_N. $2 is JSON text added to each router's settings.
write_settings() {
  routers=$1
  more=$2
  operator_key=$(secret)
  printf '%s' "$operator_key" > "$run/operator.key"
  printf '{' > "$run/secrets.json"
  for vm in c1 c2 c3 $(seq -f 'r%g' 1 "$routers"); do
    value=$(secret)
    printf '%s' "$value" > "$run/$vm.secret"
    printf '"%s":"%s",' "$vm" "$value" >> "$run/secrets.json"
  done
  printf '}' >> "$run/secrets.json"
  replicas=""
  for n in 1 2 3; do
    eval "port=\$control_peer_$n"
    replicas="$replicas{\"vm\":\"c$n\",\"host\":\"127.0.0.1\",\"port\":$port},"
  done
  operators="[{\"name\":\"operator\",\"sha256\":\"$(digest "$operator_key")\"}]"
  for n in 1 2 3; do
    eval "peer=\$control_peer_$n page=\$control_page_$n"
    cat > "$run/c$n.json" <<SETTINGS
{
  "vm": "c$n", "failureDomain": "domain-$n", "dataFolder": "$run/c$n.data",
  "peers": {"host": "127.0.0.1", "port": $peer},
  "administration": {"host": "127.0.0.1", "port": $page},
  "controlReplicas": [$replicas],
  "secretsFile": "$run/secrets.json",
  "operators": $operators,
}
SETTINGS
  done
  control_pages=""
  router_pages=""
  router_callers=""
  for n in 1 2 3; do
    eval "port=\$control_page_$n"
    control_pages="$control_pages{\"host\":\"127.0.0.1\",\"port\":$port},"
  done
  for n in $(seq 1 "$routers"); do
    eval "caller=\$router_caller_$n page=\$router_page_$n"
    router_pages="$router_pages{\"host\":\"127.0.0.1\",\"port\":$page},"
    router_callers="$router_callers{\"host\":\"127.0.0.1\",\"port\":$caller},"
    cat > "$run/r$n.json" <<SETTINGS
{
  "vm": "r$n", "failureDomain": "domain-$n",
  "callers": {"host": "127.0.0.1", "port": $caller},
  "administration": {"host": "127.0.0.1", "port": $page},
  "controlReplicas": [$replicas],
  "secretFile": "$run/r$n.secret",
  "operators": $operators,
  $more
}
SETTINGS
  done
  cat > "$run/operator.json" <<SETTINGS
{"control": [$control_pages], "routers": [$router_pages], "keyFile": "$run/operator.key"}
SETTINGS
}

# Forms the control group and starts its three replicas.
start_control() {
  forming=""
  for n in 1 2 3; do "$programs/sniperoute-control" form "$run/c$n.json" > /dev/null & forming="$forming $!"; done
  wait $forming
  for n in 1 2 3; do start "c$n" sniperoute-control "$run/c$n.json"; done
}

# Assigns a free port to each named variable: ports NAME...
ports() {
  set -- $("$programs/sniperoute-trial" ports $#) -- "$@"
  free=""
  while [ "$1" != "--" ]; do free="$free $1"; shift; done
  shift
  for port in $free; do eval "$1=$port"; shift; done
}
