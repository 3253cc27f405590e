//! Node processes, which end with the run, also when it is broken off.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use cometmoor_gateway::settings::GatewaySettings;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Environment variable with the file that holds the addresses of a node's links to servers.
pub const LINKS_VARIABLE: &str = "COMETMOOR_LAB_LINKS";

/// One node's process, or the place of one.
pub struct NodeProcess {
    program: PathBuf,
    folder: PathBuf,
    /// Its settings.
    pub settings: GatewaySettings,
    child: Option<Child>,
}

impl NodeProcess {
    /// A node that is not started yet. Settings and logs go into the folder.
    pub fn new(program: PathBuf, folder: PathBuf, settings: GatewaySettings) -> NodeProcess {
        NodeProcess { program, folder, settings, child: None }
    }

    /// File with the addresses of its links to servers.
    pub fn links_file(&self) -> PathBuf {
        self.folder.join(format!("{}.links", self.settings.node))
    }

    /// Starts a process; its log follows those of earlier ones.
    pub fn start(&mut self) -> std::io::Result<()> {
        let file = self.folder.join(format!("{}.json", self.settings.node));
        std::fs::write(&file, serde_json::to_vec(&self.settings)?)?;
        let log = File::options().create(true).append(true).open(self.log_file())?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .arg("--settings")
            .arg(&file)
            .env(LINKS_VARIABLE, self.links_file())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        // A later process of the fleet is not its first one.
        self.settings.fresh_fleet = false;
        Ok(())
    }

    /// Lines of its log that hold a text.
    pub fn log_lines_with(&self, text: &str) -> Vec<String> {
        let log = std::fs::read(self.log_file()).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    fn log_file(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.settings.node))
    }

    /// Identifier of its process; `None` without one.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether a process runs.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal, if there is a process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        if let Some(id) = id {
            // A process that has ended needs no signal.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Whether the process has ended since it was started; takes note of it.
    pub fn has_ended(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()));
        if ended {
            self.child = None;
        }
        ended
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
