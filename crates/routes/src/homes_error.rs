//! What is wrong with the homes in a configuration.

use {
    crate::{Homes, Regions, RouteConfig},
    catalog::RegionId,
    snafu::Snafu,
};

/// Homes that a configuration states and that cannot be what its operators meant.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum HomesError {
    /// A list of homes is empty.
    #[snafu(display(
        "the list of homes of {owner} is empty, so all its calls are refused; name a region, or leave the list out to allow all"
    ))]
    Empty {
        /// The route or client account.
        owner: String,
    },
    /// A home is no region of the deployment.
    #[snafu(display(
        "home {region:?} of {owner} is no region of this deployment, so no call goes there; correct its name in the \
         configuration, or add its failure domains to the setting `regions`"
    ))]
    UnknownRegion {
        /// The route or client account.
        owner: String,
        /// The region.
        region: RegionId,
    },
}

impl RouteConfig {
    /// What is wrong with the homes of the routes and client accounts, in a deployment with these regions.
    #[must_use]
    pub fn check_homes(&self, regions: &Regions) -> Vec<HomesError> {
        let routes = self.routes.iter();
        let routes = routes.map(|route| (format!("route {}", route.name), &route.homes));
        let accounts = self.accounts.iter().flatten();
        let accounts = accounts.map(|it| (format!("client account {}", it.name), &it.homes));
        let owners = routes.chain(accounts);
        owners
            .flat_map(|(owner, homes)| check(&owner, homes, regions))
            .collect()
    }
}

fn check(owner: &str, homes: &Homes, regions: &Regions) -> Vec<HomesError> {
    let owner = || owner.to_owned();
    if homes.are_nowhere() {
        return vec![HomesError::Empty { owner: owner() }];
    }
    let named = homes.regions().into_iter().flatten();
    let unknown = named.filter(|region| !regions.contain(region));
    unknown
        .map(|region| HomesError::UnknownRegion {
            owner: owner(),
            region: region.clone(),
        })
        .collect()
}
