/// Position of a route among the priorities of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRank {
    /// 0 is the most urgent.
    pub rank: u8,
    /// Number of different priorities; at least two.
    pub ranks: u8,
}
