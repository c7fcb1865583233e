package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"
	"github.com/samber/oops"

	"skylarkturn/internal/settings"
)

// Flags defines the command-line flags of a daemon.
type Flags struct {
	Config      string           `help:"TOML settings file." required:"" type:"path" placeholder:"FILE"`
	CheckConfig bool             `help:"Check the settings and exit."`
	LogLevel    string           `help:"Overrides log.level: debug, info, warn or error." enum:",debug,info,warn,error" default:""`
	Version     kong.VersionFlag `help:"Print the version and exit."`
}

// Exit codes of the daemons.
const (
	ExitFailure  = 1 // the daemon failed
	ExitSettings = 2 // invalid flags or settings file
)

// Main parses the flags, loads the settings file into cfg and calls run with a
// context that is canceled on SIGTERM or SIGINT. It returns the exit code.
func Main(name, description string, cfg settings.Checker, logging *settings.Log, run func(ctx context.Context, l *log.Logger) error) int {
	var f Flags
	kong.Parse(&f, kong.Name(name), kong.Description(description), kong.Vars{"version": Version()}, kong.Exit(exit))
	if err := settings.Load(f.Config, cfg); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitSettings
	}
	if f.CheckConfig {
		fmt.Printf("%s: settings are valid\n", f.Config)
		return 0
	}
	if f.LogLevel != "" {
		logging.Level = f.LogLevel
	}
	return Run(name, f.Config, NewLogger(*logging, os.Stderr), run)
}

// Run calls run with a context that is canceled on SIGTERM or SIGINT, and returns
// the exit code. Config is the path of the settings file, for the error log.
func Run(name, config string, l *log.Logger, run func(ctx context.Context, l *log.Logger) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, l); err != nil {
		err = oops.In(name).With("config", config).Wrap(err)
		l.Error().Err(err).Msg("daemon failed")
		return ExitFailure
	}
	return 0
}

// exit exits with ExitSettings in place of kong's code for invalid flags.
func exit(code int) {
	if code != 0 {
		code = ExitSettings
	}
	os.Exit(code)
}

const timeFormat = "2006-01-02T15:04:05.000Z07:00" // timestamps of log lines

// NewLogger returns a logger that writes to w with the level and format of cfg.
func NewLogger(cfg settings.Log, w io.Writer) *log.Logger {
	level := log.InfoLevel
	if cfg.Level != "" {
		level = log.ParseLevel(cfg.Level)
	}
	l := &log.Logger{Level: level, TimeFormat: timeFormat, Writer: &log.IOWriter{Writer: w}}
	if cfg.Format == "text" {
		l.Writer = &log.ConsoleWriter{Writer: w}
	}
	return l
}

// ReadyLine is the JSON line that a daemon prints on standard output once it
// listens.
type ReadyLine struct {
	Ready     bool `json:"ready"`
	Addresses any  `json:"addresses"`
}

// PrintReady prints the ready line with the listen addresses.
func PrintReady(addresses any) error {
	return json.NewEncoder(os.Stdout).Encode(ReadyLine{true, addresses})
}

// Version returns the module version and VCS revision of the running program.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
