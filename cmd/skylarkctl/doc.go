// Command skylarkctl is the operators' tool: it declares services and intents,
// shows the plans that the system answers with, and confirms them.
package main
