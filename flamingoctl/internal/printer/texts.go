package printer

import (
	"fmt"
	"io"
	"strings"
)

// formats maps an action whose response is an object to the function that prints it as sentences.
var formats = map[string]func(io.Writer, map[string]any){
	"status": printSentences,
	"plan":   printPlan,

	"forget-entry": func(out io.Writer, answer map[string]any) {
		_, _ = fmt.Fprintf(out, "Done: %v.\n", answer["detail"])
	},
}

// changes are the actions that change the intended state.
var changes = map[string]bool{"apply": true, "configure": true, "cancel": true, "drain": true, "undrain": true}

func printSentences(out io.Writer, answer map[string]any) {
	sentences, _ := answer["sentences"].([]any)
	for _, sentence := range sentences {
		_, _ = fmt.Fprintln(out, sentence)
	}
}

func printAccepted(out io.Writer, answer map[string]any) {
	_, _ = fmt.Fprintf(out, "Accepted. Revision %v: %v.\n", answer["revision"], answer["detail"])
}

// maxShownIDs limits the IDs in one line of a plan; -o json shows all.
const maxShownIDs = 20

func printPlan(out io.Writer, answer map[string]any) {
	if answer["already_in_force"] == true {
		_, _ = fmt.Fprintf(out, "Sheet %v is already in force at revision %v; applying it changes nothing.\n",
			answer["sheet_number"], answer["revision"])
		return
	}
	_, _ = fmt.Fprintf(out, "Sheet %v, applied at revision %v, would:\n", answer["sheet_number"], answer["revision"])
	for _, line := range []struct{ field, text string }{
		{"start", "start"},
		{"change", "change"},
		{"resume", "resume"},
		{"stop", "stop (a run that has started may finish)"},
		{"already_run", "leave alone, because they have run"},
	} {
		ids, _ := answer[line.field].([]any)
		if len(ids) == 0 {
			_, _ = fmt.Fprintf(out, "  %s: nothing\n", line.text)
			continue
		}
		_, _ = fmt.Fprintf(out, "  %s: %s\n", line.text, joinIDs(ids))
	}
	_, _ = fmt.Fprintf(out, "It stops %v of %v active tasks.\n", answer["stopped_tasks"], answer["active_tasks"])
	if answer["needs_confirmation"] == true {
		_, _ = fmt.Fprintf(out, "That is more than 20%%: check the export, then apply with --confirm-stops %v.\n",
			answer["stopped_tasks"])
	}
	if teams, _ := answer["unknown_teams"].([]any); len(teams) > 0 {
		_, _ = fmt.Fprintf(out, "The configuration does not name these teams, so their jobs have no quota: %s.\n",
			joinIDs(teams))
	}
}

// joinIDs joins IDs with commas, and counts those above maxShownIDs instead.
func joinIDs(ids []any) string {
	var names []string
	for _, id := range ids[:min(len(ids), maxShownIDs)] {
		names = append(names, fmt.Sprint(id))
	}
	if len(ids) > maxShownIDs {
		names = append(names, fmt.Sprintf("and %d more", len(ids)-maxShownIDs))
	}
	return strings.Join(names, ", ")
}
