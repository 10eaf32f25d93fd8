package cli

import "strings"

const adminHelp = `Operate a deployment through a node's administration interface.

Every command takes --admin URL and --operator-key KEY, or better their
variables, so that the key stands in no list of processes:
  export HICKORYBANK_ADMIN=http://127.0.0.1:8090
  export HICKORYBANK_OPERATOR_KEY=...

A change is made from one revision. If another change came first, nothing is
changed and the present revision is told. A change is answered as accepted
with its revision; --wait tells when it is in force on every node.`

const (
	withdrawHelp = `Withdraw a version: it receives no new work, and its sessions end.

Example:
  hickorybank admin withdraw dues@1 --wait 10s`
	presetHelp = `Show the preset in force, or put another one in force.

Examples:
  hickorybank admin preset
  hickorybank admin preset peak --wait 10s`
	rolloutHelp = `Show the roll-outs, or set how far a version is rolled out.

Examples:
  hickorybank admin rollout
  hickorybank admin rollout dues@3 staged --share 0.1 --exposure-cap 40
  hickorybank admin rollout dues@3 serving`
	targetHelp = `Set an organisation's quality target for a class.

Example:
  hickorybank admin target tolu draft 0.9`
	putHelp = `Create or replace one entry from a JSON file.

KIND is organisations, models, services, classes, presets or
models/MODEL/versions.
Examples:
  hickorybank admin put organisations tolu tolu.json
  hickorybank admin put models/dues/versions dues@4 version.json`
	deleteHelp = `Remove one entry. It is refused while another entry refers to it.

KIND is organisations, models, services, classes, presets or
models/MODEL/versions.
Example:
  hickorybank admin delete organisations tolu`
	applyHelp = `Replace the whole configuration by a JSON file.

--base is the revision that the file was made from, as "admin get" told it;
0 (the default) is right only while nothing is stored.
Examples:
  hickorybank admin get > now.json
  hickorybank admin apply now.json --base 7 --dry-run
  hickorybank admin apply now.json --base 7 --wait 10s`
	bootstrapHelp = `Store the very first configuration, straight at the platform.

A deployment without configuration serves nobody. This command needs no
running node, and changes nothing once a configuration is stored.
Example:
  hickorybank admin bootstrap first.json --platform http://127.0.0.1:8070`
	getHelp = `Print the whole configuration; its revision goes to standard error.

Examples:
  hickorybank admin get > now.json
  hickorybank admin get --revision 6 > before.json`
	billsHelp = `List bills by time, with their sums; at most 7 days at once.

Example:
  hickorybank admin bills --organisation tolu --from 2026-03-01 --to 2026-03-02`
	statusHelp = `Tell how far a revision is in force, and where not yet.

Example:
  hickorybank admin status --revision 8`
	changeHelp = `Tell what became of a change: applied, not applied, or not decided.

Example:
  hickorybank admin change 5e0c... --base 7`
	liftHelp = `Lift the hold of a version that turned bad. Name the term that you looked at.

Example:
  hickorybank admin lift dues@3 --term 1`
	pardonHelp = `Clear the crashes that count against a request or a message, at all nodes.

Example:
  hickorybank admin pardon 5cf98777a2bf6535`
)

func adminCommands(e *env) []command {
	options := adminOptions{env: e}
	change := changeOptions{adminOptions: options}
	return append(adminReadCommands(options), []command{
		{name: "apply", short: "replace the whole configuration", long: applyHelp, data: &adminApplyCommand{changeOptions: change}},
		{name: "bootstrap", short: "store the very first configuration", long: bootstrapHelp, data: &adminBootstrapCommand{env: e}},
		{name: "put", short: "create or replace an entry", long: putHelp, data: &adminPutCommand{changeOptions: change}},
		{name: "delete", short: "remove an entry", long: deleteHelp, data: &adminDeleteCommand{changeOptions: change}},
		{name: "withdraw", short: "withdraw a version", long: withdrawHelp, data: &adminWithdrawCommand{changeOptions: change}},
		{name: "preset", short: "show or change the preset in force", long: presetHelp, data: &adminPresetCommand{changeOptions: change}},
		{name: "rollout", short: "show or change roll-outs", long: rolloutHelp, data: &adminRolloutCommand{changeOptions: change}},
		{name: "target", short: "set a quality target", long: targetHelp, data: &adminTargetCommand{changeOptions: change}},
		{name: "lift", short: "lift a version's hold", long: liftHelp, data: &adminLiftCommand{adminOptions: options}},
		{name: "pardon", short: "clear the crashes of a request or a message", long: pardonHelp, data: &adminPardonCommand{adminOptions: options}},
	}...)
}

func adminReadCommands(o adminOptions) []command {
	return []command{
		{name: "get", short: "print the configuration", long: getHelp, data: &adminGetCommand{adminOptions: o}},
		listCommand("organisations", "list organisations", &adminOrganisationsCommand{adminOptions: o}),
		listCommand("models", "list models with their versions", &adminModelsCommand{adminOptions: o}),
		listCommand("versions", "list versions with their costs, quality and share", &adminVersionsCommand{adminOptions: o}),
		listCommand("services", "list the calls of plain services", &adminServicesCommand{adminOptions: o}),
		listCommand("classes", "list classes of requests", &adminClassesCommand{adminOptions: o}),
		listCommand("presets", "list presets", &adminPresetsCommand{adminOptions: o}),
		listCommand("changes", "list recent changes, newest first", &adminChangesCommand{adminOptions: o}),
		{name: "change", short: "tell what became of a change", long: changeHelp, data: &adminChangeCommand{adminOptions: o}},
		{name: "status", short: "tell how far a revision is in force", long: statusHelp, data: &adminStatusCommand{adminOptions: o}},
		{name: "bills", short: "list bills", long: billsHelp, data: &adminBillsCommand{adminOptions: o}},
		listCommand("nodes", "list entry nodes as the asked one sees them", &adminNodesCommand{adminOptions: o}),
		listCommand("upstreams", "list upstreams that the asked node knows", &adminUpstreamsCommand{adminOptions: o}),
		listCommand("crashes", "list requests and messages that are held because upstreams crashed under them", &adminCrashesCommand{adminOptions: o}),
		listCommand("holds", "list versions that are or were held because they turned bad", &adminHoldsCommand{adminOptions: o}),
	}
}

// listCommand returns the definition of a command that prints one table.
func listCommand(name, short string, data any) command {
	long := strings.ToUpper(short[:1]) + short[1:] + `.

Examples:
  hickorybank admin ` + name + `
  hickorybank admin ` + name + ` --json`
	return command{name: name, short: short, long: long, data: data}
}
