//! A way over loopback that can be slowed, silenced, cut and reset.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::schedule::WayFault;

/// What each piece waits on a slow way.
const SLOW: Duration = Duration::from_millis(150);
/// Bytes that are passed on at once.
const PIECE: usize = 16 << 10;

/// What passes now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mode {
    #[default]
    Open,
    Slow,
    Cut,
    CutBack,
}

#[derive(Default)]
struct Link {
    is_silent: Cell<bool>,
    is_reset: Cell<bool>,
    changed: Notify,
}

struct State {
    target: Cell<SocketAddrV4>,
    mode: Cell<Mode>,
    links: RefCell<Vec<Weak<Link>>>,
    changed: Notify,
}

/// A way to an address.
#[derive(Clone)]
pub struct Way {
    /// Where it begins.
    pub address: SocketAddrV4,
    state: Rc<State>,
}

/// Direction of a copy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

impl Way {
    /// Opens a way from an address of this host to a target.
    pub async fn open(host: Ipv4Addr, target: SocketAddrV4) -> std::io::Result<Way> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = SocketAddrV4::new(host, listener.local_addr()?.port());
        let state = Rc::new(State {
            target: Cell::new(target),
            mode: Cell::default(),
            links: RefCell::default(),
            changed: Notify::new(),
        });
        let shared = state.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(carry(stream, shared.clone()));
            }
        });
        Ok(Way { address, state })
    }

    /// Begins a fault.
    pub fn strike(&self, fault: WayFault) {
        match fault {
            WayFault::Slow => self.state.mode.set(Mode::Slow),
            WayFault::Cut => self.state.mode.set(Mode::Cut),
            WayFault::CutBack => self.state.mode.set(Mode::CutBack),
            WayFault::SilenceOpen => self.each_link(|link| link.is_silent.set(true)),
            WayFault::Reset => self.each_link(|link| link.is_reset.set(true)),
        }
        self.state.changed.notify_waiters();
    }

    /// Ends a fault that lasts; what was held up goes on.
    pub fn heal(&self) {
        self.state.mode.set(Mode::Open);
        self.state.changed.notify_waiters();
    }

    /// Leads to another target from now on; open connections are reset.
    pub fn lead_to(&self, target: SocketAddrV4) {
        self.state.target.set(target);
        self.strike(WayFault::Reset);
    }

    fn each_link(&self, change: impl Fn(&Link)) {
        self.state.links.borrow_mut().retain(|link| link.strong_count() > 0);
        for link in self.state.links.borrow().iter().filter_map(Weak::upgrade) {
            change(&link);
            link.changed.notify_waiters();
        }
    }
}

async fn carry(from: TcpStream, state: Rc<State>) {
    // A way that is cut takes connections, as a host behind it that says nothing.
    let Ok(to) = TcpStream::connect(state.target.get()).await else { return };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let link = Rc::new(Link::default());
    state.links.borrow_mut().push(Rc::downgrade(&link));
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    let there = pass(from_read, to_write, Direction::There, &state, &link);
    let back = pass(to_read, from_write, Direction::Back, &state, &link);
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        () = until_reset(&link) => {}
    }
}

async fn until_reset(link: &Link) {
    loop {
        let changed = link.changed.notified();
        if link.is_reset.get() {
            return;
        }
        changed.await;
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    state: &State,
    link: &Link,
) {
    let mut piece = vec![0; PIECE];
    loop {
        let read = from.read(&mut piece).await;
        wait_for_passage(direction, state, link).await;
        let Ok(length @ 1..) = read else { break };
        if to.write_all(&piece[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// Waits while nothing passes; for ever where the connection has gone silent.
async fn wait_for_passage(direction: Direction, state: &State, link: &Link) {
    loop {
        let changed = state.changed.notified();
        if link.is_silent.get() {
            return std::future::pending().await;
        }
        match state.mode.get() {
            Mode::Open => return,
            Mode::Slow => return tokio::time::sleep(SLOW).await,
            Mode::CutBack if direction == Direction::There => return,
            Mode::Cut | Mode::CutBack => changed.await,
        }
    }
}
