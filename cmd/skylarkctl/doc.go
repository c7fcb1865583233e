// Command skylarkctl is the operators' tool: it declares services and intents,
// shows the plans that the system answers with, and confirms them; on the users'
// platform it asks all daemons what they know.
package main
