# What scripts that start nodes beside the emulator share; they set net, the first
# two numbers of all addresses, and domains, "NAME:REGION,...".

settings_of() { # NODE_NUMBER DOMAIN REGION STORE
	cat <<END
[node]
name = "n$1"
domain = "$2"
region = "$3"
[listen]
front = "$net.$1.1:8080"
ready = "$net.$1.1:8081"
lookup = "$net.$1.1:8082"
operators = "$net.$1.1:8083"
peer = "$net.$1.1:8084"
[registry]
address = "$4"
[extra]
ratio = "0.2"
allowance = "40"
${account_settings:-}
[log]
level = "info"
[domains]
$(tr , '\n' <<<"$domains" | sed 's/\(.*\):\(.*\)/"\1" = "\2"/')
END
}
