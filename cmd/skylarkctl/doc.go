// Command skylarkctl is the command-line tool for operators. It declares services
// and intents, shows the resulting plans and confirms them. On the users' platform
// it queries the daemons for their status, members and decisions.
package main
